#include <daemon/fleet_daemon.h>

#include <algorithm>
#include <base/log_line.h>
#include <base/log_output.h>
#include <base/rng.h>
#include <utility>

namespace chivewharf::daemon {

namespace {

constexpr duration tick_interval = milliseconds{20};
/// A tick that is later than this is logged: the process was suspended or got no CPU time.
constexpr duration late_tick_threshold = milliseconds{300};
/// After a longer delay of a tick, messages of other hosts may have arrived that were not read yet.
constexpr duration max_unread_delay = milliseconds{50};
/// Ticks between the last answers of a planned stop and the end of the process, also if its limit
/// has passed: responses are written by the loop.
constexpr int min_ending_ticks = 5;
/// New connections may arrive for this long after the host has become unready: the load balancer
/// probes once a second and removes a host after two failed probes.
constexpr duration balancer_removal_delay = milliseconds{2200};
/// Last part of a planned stop, in which no connections are accepted. Requests on those accepted
/// before are still answered.
constexpr duration listen_margin = milliseconds{800};
/// Last part of it, in which open jobs have been answered, tasks of other hosts' jobs
/// are stopped, and their requesters are told.
constexpr duration response_margin = milliseconds{300};
/// Last part of it, in which other hosts receive the messages that are still queued.
constexpr duration peer_margin = milliseconds{100};

std::string advertised_address(const settings::fleet_settings& settings)
{
    return to_text(settings.advertised.ip.empty() ? settings.peers : settings.advertised);
}

} // namespace

fleet_daemon::fleet_daemon(settings::fleet_settings settings, fleet_adapters adapters,
                           std::function<std::optional<settings::fleet_settings>()> reload)
    : settings_{std::move(settings)}, adapters_{std::move(adapters)}, reload_{std::move(reload)},
      incarnation_{random_seed()}, root_{"root"}, main_{
                                                      [this](int count) { on_stop_signal(count); }}
{
    wire::hello greeting;
    greeting.domain = settings_.domain;
    greeting.host = settings_.host;
    greeting.incarnation = incarnation_;
    links_ =
        std::make_unique<link_hub>(greeting, to_text(settings_.peers), metrics_, random_seed());
    core_ = std::make_unique<fleet::fleet_host>(
        fleet::host_identity{
            settings_.host, settings_.domain, advertised_address(settings_), incarnation_,
            static_cast<std::uint32_t>(1000 * settings_.core_share * settings_.cores)},
        settings_.domains, *adapters_.workers, *links_, *adapters_.callers, metrics_,
        adapters_.config, boot_clock::now());
    store_ = std::make_unique<store_reader>(*core_, *adapters_.store, adapters_.records, metrics_,
                                            random_seed());
    adapters_.callers->attach(*core_, metrics_);
    connect_links();
    main_.on_reload([this] { on_reload_signal(); });
    root_.add(*links_);
    root_.add(*store_);
    root_.add(*adapters_.callers);
}

fleet_daemon::~fleet_daemon() = default;

void fleet_daemon::connect_links()
{
    links_->set_seeds(settings_.seeds);
    links_->set_event_handlers(
        {[this](const std::string& host, const std::string& domain, std::uint64_t incarnation) {
             core_->peer_linked(host, domain, incarnation, boot_clock::now());
         },
         [this](const std::string& host) { core_->peer_unlinked(host, boot_clock::now()); },
         [this](const std::string& host, const wire::message& message) {
             core_->peer_message(host, message, boot_clock::now());
         },
         [this] { return core_->unlinked_hosts(); }});
}

int fleet_daemon::run()
{
    log_line{"start"}
        .add("host", settings_.host)
        .add("domain", settings_.domain)
        .add("life", incarnation_)
        .add("callers", to_text(settings_.callers))
        .add("peers", to_text(settings_.peers))
        .write();
    auto started = root_.start([this](const runtime::runtime_error& error) {
        log_line{"failed"}.add("message", error.message).error();
        main_.quit(1);
    });
    if (!started) {
        log_line{"start_failed"}.add("message", started.error().message).error();
        return 1;
    }
    if (!start_metrics())
        return 1;
    last_tick_ = boot_clock::now();
    tick_timer_.every(tick_interval, [this] { tick(); });
    const int code = main_.run();
    tick_timer_.cancel();
    root_.stop();
    log_line{"exit"}.add("code", code).write();
    return code;
}

bool fleet_daemon::start_metrics()
{
    if (settings_.metrics_port == 0)
        return true;
    metrics_server_ = std::make_unique<runtime::http_server>(
        runtime::http_limits::for_probes(),
        [this](const std::shared_ptr<runtime::http_exchange>& exchange) {
            exchange->respond({200, metrics_text(), "text/plain; version=0.0.4", {}});
        },
        [this](reason why) {
            metrics_.reasons(runtime::request_limits_metric).add(why);
            return runtime::http_response{503, {}, "text/plain", {}};
        });
    auto address = settings_.callers;
    address.port = static_cast<std::uint16_t>(settings_.metrics_port);
    const auto port = metrics_server_->listen(to_text(address));
    if (!port)
        log_line{"start_failed"}.add("message", port.error().message).error();
    return port.has_value();
}

std::string fleet_daemon::metrics_text()
{
    metrics_.counter("chivewharf_log_lines_dropped_total") = dropped_log_lines();
    return metrics_.prometheus_text();
}

void fleet_daemon::tick()
{
    const auto now = boot_clock::now();
    const auto late = now - last_tick_ - tick_interval;
    if (late > late_tick_threshold)
        log_line{"tick_late"}.add("late_ms", to_ms(late)).write();
    last_tick_ = now;
    metrics_.histogram("chivewharf_tick_late_seconds").observe(late);
    if (ending_since_) {
        ++ending_ticks_;
        check_ended(now);
        return;
    }
    // What arrived while the process did not run counts before any deadline is judged.
    if (late > max_unread_delay)
        links_->deliver_unread();
    core_->tick(now);
    if (stopping_)
        check_drained(now);
}

void fleet_daemon::on_stop_signal(int count)
{
    if (count > 1) {
        log_line{"stop_at_once"}
            .add("open", std::uint64_t{adapters_.callers->pending_responses()})
            .warn();
        main_.quit(1);
        return;
    }
    stopping_ = true;
    stop_began_ = boot_clock::now();
    stop_limit_ =
        stop_began_ + std::max<duration>(milliseconds{settings_.drain_ms}, balancer_removal_delay);
    log_line{"stop_begins"}
        .add("open", std::uint64_t{adapters_.callers->pending_responses()})
        .write();
    adapters_.callers->begin_closing();
    core_->leave(stop_limit_ - response_margin, stop_began_);
}

void fleet_daemon::on_reload_signal()
{
    const auto settings = reload_();
    log_line{"reload"}.add("usable", settings ? "true" : "false").write();
    if (!settings)
        return;
    settings_.seeds = settings->seeds;
    links_->set_seeds(settings_.seeds);
}

void fleet_daemon::check_drained(time_point now)
{
    // Before then, the load balancer may still send requests.
    if (now - stop_began_ < balancer_removal_delay)
        return;
    adapters_.callers->close_idle();
    if (now >= stop_limit_ - listen_margin)
        adapters_.callers->stop_listening();
    const bool idle = core_->drained() && adapters_.callers->pending_responses() == 0;
    if (idle || now >= stop_limit_ - peer_margin)
        begin_ending(idle, now);
}

void fleet_daemon::begin_ending(bool idle, time_point now)
{
    ending_since_ = now;
    ended_idle_ = idle;
    adapters_.callers->stop_listening();
    core_->finish_leaving(now);
    links_->finish();
}

void fleet_daemon::check_ended(time_point now)
{
    adapters_.callers->close_idle();
    const bool links_ended = links_->finished() || now - *ending_since_ >= peer_margin;
    const bool complete = links_ended && adapters_.callers->pending_responses() == 0;
    const bool limit_reached = now >= stop_limit_ && ending_ticks_ >= min_ending_ticks;
    if (!complete && !limit_reached)
        return;
    const auto at_limit = core_->router().answered_at_limit();
    log_line{"stopped"}
        .add("idle", ended_idle_ ? "true" : "false")
        .add("open", std::uint64_t{adapters_.callers->pending_responses()})
        .add("not_run_at_limit", at_limit.not_run)
        .add("lost_at_limit", at_limit.lost)
        .add("links_ended", links_->finished() ? "true" : "false")
        .write();
    main_.quit(0);
}

} // namespace chivewharf::daemon
