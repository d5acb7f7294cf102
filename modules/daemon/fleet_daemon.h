#pragma once

#include <daemon/caller_front.h>
#include <daemon/link_hub.h>
#include <daemon/store_reader.h>
#include <fleet/fleet_host.h>
#include <functional>
#include <memory>
#include <metrics/registry.h>
#include <optional>
#include <runtime/http_server.h>
#include <runtime/main_loop.h>
#include <runtime/supervisor.h>
#include <settings/fleet_settings.h>

namespace chivewharf::daemon {

/// Adapters between this system and the users' platform.
struct fleet_adapters {
    std::unique_ptr<fleet::worker_port> workers;
    std::unique_ptr<fleet::store_port> store;
    std::unique_ptr<caller_front> callers;
    record_decoders records;
    fleet::fleet_host::config_decoder config;
};

/// Runs a host as a process on the users' platform: owns the supervisor tree of peer links, store
/// reader and caller front end, ticks the core (`fleet::fleet_host`), serves the metrics and
/// carries out the planned stop.
class fleet_daemon {
public:
    /// \param reload reads the settings file again; returns none if it is invalid
    fleet_daemon(settings::fleet_settings settings, fleet_adapters adapters,
                 std::function<std::optional<settings::fleet_settings>()> reload);
    ~fleet_daemon();
    fleet_daemon(const fleet_daemon&) = delete;
    fleet_daemon& operator=(const fleet_daemon&) = delete;

    /// Runs until a planned stop is complete, a second stop signal arrives or a component fails.
    /// \return exit code: 0 after a planned stop, 1 otherwise
    int run();

private:
    void on_stop_signal(int count);
    void on_reload_signal();
    void connect_links();
    void tick();
    /// Ends the work of a planned stop once nothing is open, or shortly before its limit.
    void check_drained(time_point now);
    /// Answers what is still open, and ends the links to other hosts.
    void begin_ending(bool idle, time_point now);
    /// Ends the process once callers and hosts have received everything, or at the stop's limit.
    void check_ended(time_point now);
    bool start_metrics();
    std::string metrics_text();

    settings::fleet_settings settings_;
    fleet_adapters adapters_;
    std::function<std::optional<settings::fleet_settings>()> reload_;
    metrics::registry metrics_;
    std::uint64_t incarnation_;
    std::unique_ptr<link_hub> links_;
    std::unique_ptr<fleet::fleet_host> core_;
    std::unique_ptr<store_reader> store_;
    std::unique_ptr<runtime::http_server> metrics_server_;
    runtime::supervisor root_;
    runtime::main_loop main_;
    runtime::timer tick_timer_;
    time_point last_tick_{};
    time_point stop_began_{};
    time_point stop_limit_{};                ///< the process ends by then; valid if `stopping_`
    std::optional<time_point> ending_since_; ///< when a planned stop ended its work
    int ending_ticks_ = 0;                   ///< since then
    bool ended_idle_ = false;                ///< nothing was open then
    bool stopping_ = false;
};

} // namespace chivewharf::daemon
