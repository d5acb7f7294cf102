#include <daemon/entry_daemon.h>

#include <base/log_line.h>
#include <base/rng.h>

namespace chivewharf::daemon {

namespace {

constexpr duration drain_check = milliseconds{20};
constexpr duration health_check = milliseconds{100};

/// The hand-over of ownership slots, and callers that do not read their answers, are given up after
/// this time; the slots are then claimed after the lease, with a quarantine.
constexpr duration handover_limit = seconds{5};

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
    loop_->set_handlers(handlers());
    core_->on_applied([this] { callers_->apply(core_->settings()); });
    root_.add(*platform_);
    root_.add(*peers_);
    root_.add(*upstreams_);
    root_.add(*callers_);
}

entry_daemon::~entry_daemon() = default;

action_handlers entry_daemon::handlers()
{
    action_handlers all;
    all.answer = [this](dispatch::answer_caller one) { callers_->answer(std::move(one)); };
    all.send_task = [this](dispatch::send_task one) { upstreams_->send(std::move(one)); };
    all.abort = [this](const dispatch::abort_call& one) { upstreams_->abort(one); };
    all.send_peer = [this](dispatch::send_peer one) { peers_->send(std::move(one)); };
    all.drop_link = [this](const dispatch::drop_link& one) { peers_->drop(one.host); };
    all.append = [this](dispatch::append_record one) { platform_->append(std::move(one)); };
    return all;
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
        end(1);
    });
    if (!started)
        return 1;
    if (fixed_settings_)
        loop_->event([](auto& core, const auto& at) { core.use_initial_settings(at); });
    loop_->start_ticks();
    health_timer_.every(health_check, [this] { check_health(); });
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
    end(1);
}

void entry_daemon::on_signal(int count)
{
    if (count > 1) {
        const auto cut = core_->in_flight();
        metrics_.counter("chivewharf_promise_violations_total", "promise=\"P7\"") += cut;
        log_line{"stop_at_once"}.add("cut", std::uint64_t{cut}).warn();
        end(1);
        return;
    }
    stopping_ = true;
    stop_began_ = boot_clock::now();
    callers_->set_ready(false);
    log_line{"stop_begins"}.add("in_flight", std::uint64_t{core_->in_flight()}).write();
    stop_timer_.once(host_.drain_notice, [this] { refuse_new_work(); });
}

void entry_daemon::refuse_new_work()
{
    loop_->event([](auto& core, const auto& at) { core.begin_drain(at); });
    stop_timer_.every(drain_check, [this] { wait_until_drained(); });
}

void entry_daemon::wait_until_drained()
{
    if (!core_->drained())
        return;
    loop_->event([](auto& core, const auto& at) { core.hand_over(at); });
    stop_began_ = boot_clock::now();
    stop_timer_.every(drain_check, [this] { wait_until_handed_over(); });
}

void entry_daemon::wait_until_handed_over()
{
    const bool done =
        core_->handed_over() && platform_->pending_appends() == 0 && callers_->unfinished() == 0;
    if (!done && boot_clock::now() - stop_began_ < handover_limit)
        return;
    log_line{"stopped"}.add("handed_over", done ? "true" : "false").write();
    end(0);
}

void entry_daemon::end(int exit_code)
{
    stop_timer_.cancel();
    main_.quit(exit_code);
}

} // namespace chivewharf::daemon
