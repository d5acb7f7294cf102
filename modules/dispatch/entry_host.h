#pragma once

#include <base/rng.h>
#include <dispatch/action.h>
#include <dispatch/config_service.h>
#include <dispatch/customer_directory.h>
#include <dispatch/identity.h>
#include <dispatch/ownership_service.h>
#include <dispatch/peer_service.h>
#include <dispatch/policy_options.h>
#include <dispatch/request_router.h>
#include <dispatch/spill_service.h>
#include <dispatch/submission_service.h>
#include <dispatch/task_dispatcher.h>
#include <functional>
#include <memory>
#include <metrics/registry.h>
#include <optional>
#include <settings/cluster_settings.h>
#include <string>
#include <submission/id_issuer.h>
#include <submission/submission_table.h>
#include <vector>

namespace chivewharf::dispatch {

/// The decision logic of one entry host. The shell passes events with the current time; after each
/// event it performs the actions that `take_actions` returns. This class performs no I/O and reads
/// no clock, so the same code runs in the daemon, in golden sessions and under virtual time.
class entry_host {
public:
    /// \param self must be an entry host of the settings
    /// \param peer_address `IP:PORT` where peers connect
    /// \param settings provide the peer addresses until a configuration is in force
    /// \param seed of the random number generator
    /// \param options alternatives to the default policy, for the policy benchmark
    entry_host(identity self, std::string peer_address,
               std::shared_ptr<const settings::cluster_settings> settings,
               metrics::registry& metrics, std::uint64_t seed, time_point now,
               policy_options options = {});
    ~entry_host();
    entry_host(const entry_host&) = delete;
    entry_host& operator=(const entry_host&) = delete;

    /// Puts the constructor's settings into force without reading the log; for a single host.
    void use_initial_settings(clock_reading now);

    /// Owner of a bearer token; none if the token is unknown.
    std::optional<principal> authenticate(std::string_view token) const
    {
        return customers_.authenticate(token);
    }

    /// Issues submission ids. Only this process may start the tasks of these submissions.
    std::vector<std::string> issue_ids(std::size_t count, clock_reading now);

    // Callers.
    void request(caller_request request, clock_reading now);
    void caller_gone(submission::waiter who, clock_reading now);

    // Upstreams.
    bool confirm_start(call_id call, time_point now) const;
    void task_ended(call_id call, call_report report, clock_reading now);
    void platform_hosts(const upstream::platform_list& workers,
                        const std::vector<membership::known_host>& hosts, clock_reading now);

    // Peers.
    void peer_up(const std::string& host, clock_reading now);
    void peer_down(const std::string& host, clock_reading now);
    void peer_message(const peer_identity& from, wire::message message, clock_reading now);

    /// Applies a validated configuration between two events, whether it came from the log or from a
    /// peer. Connections, queues and running work are kept.
    void put_in_force(config_change change, clock_reading now);

    // The platform's log.
    const std::string& ownership_stream() const { return ownership_.stream(); }
    std::uint64_t ownership_offset() const { return ownership_.next_offset(); }
    std::uint64_t config_offset() const { return config_.next_offset(); }
    void config_was_read(const config_read& read, clock_reading now);
    void ownership_read(const ownership::log_read& read, clock_reading now);
    void append_ended(const std::string& stream, const std::string& record_id,
                      ownership::append_outcome outcome, clock_reading now);

    /// Performs the work that is due. Must be called at `next_tick` at the latest.
    void tick(clock_reading now);
    time_point next_tick(time_point now) const;

    /// Drains or undrains a worker on behalf of an operator. \return false if the worker is unknown
    bool drain_worker(const std::string& name, bool drained, clock_reading now);

    /// Begins a planned stop: new submissions are refused.
    void begin_drain(clock_reading now);

    /// True once `begin_drain` was called and nothing is in flight any more.
    bool drained() const;

    /// Number of requests and tasks that stopping now would interrupt.
    std::size_t in_flight() const;

    /// Hands the ownership slots over to other live hosts. Call it once `drained` returns true.
    void hand_over(clock_reading now);
    bool handed_over() const { return ownership_.handovers_done(); }

    bool superseded() const { return peers_.superseded(); }

    std::vector<action> take_actions() { return actions_.take(); }

    /// State for operators, as JSON.
    std::string status_json();
    std::string submission_json(std::string_view customer, std::string_view id,
                                time_point now) const;
    /// Returns none if the customer is unknown.
    std::optional<std::string> customer_json(std::string_view customer, time_point now) const;

    const settings::cluster_settings& settings() const noexcept { return *settings_; }
    const identity& self() const noexcept { return self_; }

    /// True once a configuration is in force.
    bool ready() const noexcept { return in_force_; }
    std::int64_t version() const noexcept { return config_.version(); }

    /// True while a request or spilled task from or to the host has not been answered.
    bool awaits(const std::string& host) const;

    /// Sets a function to call after each configuration that is put into force.
    void on_applied(std::function<void()> call) { on_applied_ = std::move(call); }

private:
    class reply_relay;

    static submission::table_options table_options_of(const settings::cluster_settings& settings);
    static submission::id_issuer make_issuer(const identity& self, duration id_lifetime);
    void apply(std::shared_ptr<const settings::cluster_settings> settings, clock_reading now,
               time_point may_claim_from);
    void set_ready();
    void announce_version(clock_reading now);
    std::vector<std::string> configured_peers() const;
    void fail_lost_slots(const std::vector<unsigned>& lost, time_point now);
    void after_event(clock_reading now);

    identity self_;
    std::shared_ptr<const settings::cluster_settings> settings_;
    metrics::registry& metrics_;
    rng random_;
    action_list actions_;
    customer_directory customers_;
    submission::id_issuer issuer_;
    submission::submission_table table_;
    ownership_service ownership_;
    std::unique_ptr<reply_relay> relay_;
    submission_service service_;
    task_dispatcher dispatcher_;
    spill_service spills_;
    peer_service peers_;
    request_router router_;
    config_service config_;
    std::function<void()> on_applied_;
    time_point next_peer_tick_{};
    time_point next_slot_tick_{};
    time_point next_ownership_tick_{};
    time_point next_config_tick_{};
    bool in_force_ = false;
    bool draining_ = false;
};

} // namespace chivewharf::dispatch
