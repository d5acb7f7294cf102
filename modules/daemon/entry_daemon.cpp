#include <daemon/entry_daemon.h>

#include <base/log_line.h>
#include <base/rng.h>

namespace chivewharf::daemon {

namespace {

constexpr duration drain_check_interval = milliseconds{20};
constexpr duration health_check_interval = milliseconds{100};

/// The process exits after this time even if the hand-over of ownership slots is incomplete or
/// callers have not read their responses. Other hosts then claim the slots after the lease has
/// expired, with a quarantine.
constexpr duration handover_timeout = seconds{5};

/// Time for other hosts to receive the messages that are queued at the end of the stop.
constexpr duration link_end_timeout = milliseconds{500};

dispatch::identity make_identity(const settings::host_settings& host)
{
    return {host.domain, host.name, random_seed()};
}

std::string platform_address(const settings::host_settings& host,
                             const settings::cluster_settings& settings)
{
    return to_text(host.platform_address.value_or(settings.platform_address));
}

} // namespace

entry_daemon::entry_daemon(const settings::host_settings& host,
                           const std::shared_ptr<const settings::cluster_settings>& initial,
                           bool fixed_settings)
    : host_{host}, fixed_settings_{fixed_settings}, core_{std::make_unique<dispatch::entry_host>(
                                                        make_identity(host),
                                                        to_text(host.peer_address), initial,
                                                        metrics_, random_seed(),
                                                        boot_clock::now())},
      loop_{std::make_unique<core_loop>(*core_)}, platform_{std::make_unique<platform_gateway>(
                                                      *loop_, metrics_,
                                                      platform_address(host, *initial),
                                                      !fixed_settings, random_seed())},
      peers_{std::make_unique<peer_gateway>(*loop_, metrics_, to_text(host.peer_address),
                                            host.peer_key, random_seed())},
      upstreams_{std::make_unique<upstream_gateway>(*loop_)},
      callers_{
          std::make_unique<caller_gateway>(*loop_, metrics_, to_text(host.caller_address),
                                           runtime::tls_files{host.tls_certificate, host.tls_key})},
      root_{"root"}, main_{[this](int count) { on_signal(count); }}
{
    loop_->set_handlers(make_action_handlers());
    core_->on_applied([this] { callers_->apply(core_->settings()); });
    root_.add(*platform_);
    root_.add(*peers_);
    root_.add(*upstreams_);
    root_.add(*callers_);
}

entry_daemon::~entry_daemon() = default;

action_handlers entry_daemon::make_action_handlers()
{
    action_handlers handlers;
    handlers.answer = [this](dispatch::answer_caller action) {
        callers_->answer(std::move(action));
    };
    handlers.send_task = [this](dispatch::send_task action) {
        upstreams_->send(std::move(action));
    };
    handlers.abort = [this](const dispatch::abort_call& action) { upstreams_->abort(action); };
    handlers.send_peer = [this](dispatch::send_peer action) { peers_->send(std::move(action)); };
    handlers.drop_link = [this](const dispatch::drop_link& action) { peers_->drop(action.host); };
    handlers.append = [this](dispatch::append_record action) {
        platform_->append(std::move(action));
    };
    return handlers;
}

int entry_daemon::run()
{
    const auto& self = core_->self();
    log_line{"start"}
        .add("host", self.host)
        .add("domain", self.domain)
        .add("incarnation", to_hex(self.incarnation))
        .write();
    auto started = root_.start([this](const runtime::runtime_error& error) {
        log_line{"failed"}.add("message", error.message).error();
        quit(1);
    });
    if (!started)
        return 1;
    if (fixed_settings_)
        loop_->event([](auto& core, const auto& at) { core.use_initial_settings(at); });
    loop_->start_ticks();
    health_timer_.every(health_check_interval, [this] { check_health(); });
    const int code = main_.run();
    root_.stop();
    log_line{"exit"}.add("code", code).write();
    return code;
}

void entry_daemon::check_health()
{
    callers_->set_ready(core_->ready() && !stopping_);
    if (!core_->superseded())
        return;
    log_line{"superseded"}.add("why", "another process runs under this host's name").error();
    quit(1);
}

void entry_daemon::on_signal(int count)
{
    if (count > 1) {
        const auto interrupted = core_->in_flight();
        metrics_.counter("chivewharf_promise_violations_total", "promise=\"P7\"") += interrupted;
        log_line{"stop_at_once"}.add("cut", std::uint64_t{interrupted}).warn();
        quit(1);
        return;
    }
    stopping_ = true;
    stop_phase_began_ = boot_clock::now();
    callers_->set_ready(false);
    callers_->begin_closing();
    log_line{"stop_begins"}.add("in_flight", std::uint64_t{core_->in_flight()}).write();
    stop_timer_.once(host_.drain_notice, [this] { refuse_new_work(); });
}

void entry_daemon::refuse_new_work()
{
    loop_->event([](auto& core, const auto& at) { core.begin_drain(at); });
    stop_timer_.every(drain_check_interval, [this] { wait_until_drained(); });
}

void entry_daemon::wait_until_drained()
{
    callers_->close_idle();
    if (!core_->drained())
        return;
    loop_->event([](auto& core, const auto& at) { core.hand_over(at); });
    stop_phase_began_ = boot_clock::now();
    stop_timer_.every(drain_check_interval, [this] { wait_until_handed_over(); });
}

void entry_daemon::wait_until_handed_over()
{
    callers_->close_idle();
    const bool complete = core_->handed_over() && platform_->pending_appends() == 0 &&
                          callers_->pending_responses() == 0;
    if (!complete && boot_clock::now() - stop_phase_began_ < handover_timeout)
        return;
    log_line{"stopped"}
        .add("handed_over", complete ? "true" : "false")
        .add("open", std::uint64_t{callers_->pending_responses()})
        .write();
    peers_->finish();
    stop_phase_began_ = boot_clock::now();
    stop_timer_.every(drain_check_interval, [this] { wait_until_links_ended(); });
}

void entry_daemon::wait_until_links_ended()
{
    callers_->close_idle();
    const bool complete = peers_->finished() && callers_->pending_responses() == 0;
    if (complete || boot_clock::now() - stop_phase_began_ >= link_end_timeout)
        quit(0);
}

void entry_daemon::quit(int exit_code)
{
    stop_timer_.cancel();
    main_.quit(exit_code);
}

} // namespace chivewharf::daemon
