#pragma once

#include <daemon/caller_gateway.h>
#include <daemon/core_loop.h>
#include <daemon/peer_gateway.h>
#include <daemon/platform_gateway.h>
#include <daemon/upstream_gateway.h>
#include <memory>
#include <metrics/registry.h>
#include <runtime/main_loop.h>
#include <runtime/supervisor.h>
#include <settings/host_settings.h>

namespace chivewharf::daemon {

/// Process of an entry host: the supervisor tree of platform, peers, upstreams and callers, and the
/// planned stop.
class entry_daemon {
public:
    /// \param initial settings that name the peers and the platform until a configuration is in
    ///        force
    /// \param fixed_settings whether to use the initial settings as the configuration and ignore
    ///        the one in the log
    entry_daemon(const settings::host_settings& host,
                 const std::shared_ptr<const settings::cluster_settings>& initial,
                 bool fixed_settings);
    ~entry_daemon();
    entry_daemon(const entry_daemon&) = delete;
    entry_daemon& operator=(const entry_daemon&) = delete;

    /// Runs until a signal stops the process or it fails.
    /// \return exit code: 0 after a planned stop, 1 otherwise
    int run();

private:
    void on_signal(int count);
    void refuse_new_work();
    void wait_until_drained();
    void wait_until_handed_over();
    void wait_until_links_ended();
    void quit(int exit_code);
    void check_health();
    action_handlers make_action_handlers();

    settings::host_settings host_;
    bool fixed_settings_;
    metrics::registry metrics_;
    std::unique_ptr<dispatch::entry_host> core_;
    std::unique_ptr<core_loop> loop_;
    std::unique_ptr<platform_gateway> platform_;
    std::unique_ptr<peer_gateway> peers_;
    std::unique_ptr<upstream_gateway> upstreams_;
    std::unique_ptr<caller_gateway> callers_;
    runtime::supervisor root_;
    runtime::main_loop main_;
    runtime::timer stop_timer_;
    runtime::timer health_timer_;
    time_point stop_phase_began_{};
    bool stopping_ = false;
};

} // namespace chivewharf::daemon
