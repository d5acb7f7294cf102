#pragma once

#include <base/result.h>
#include <base/time.h>
#include <cstdint>
#include <fleet/cancelled_jobs.h>
#include <fleet/cluster_config.h>
#include <fleet/config_state.h>
#include <fleet/drain_state.h>
#include <fleet/finished_jobs.h>
#include <fleet/host_directory.h>
#include <fleet/host_identity.h>
#include <fleet/job_router.h>
#include <fleet/pause_monitor.h>
#include <fleet/ports.h>
#include <fleet/report_sender.h>
#include <fleet/request_log.h>
#include <fleet/shard_claims.h>
#include <fleet/worker_directory.h>
#include <functional>
#include <map>
#include <memory>
#include <metrics/registry.h>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace chivewharf::fleet {

/// Why a request is rejected.
///  - `no_config`: this host has no configuration, or one that is out of date.
///  - `unknown_queue`: the configuration has no queue for the request.
///  - `unsupported`: jobs of this kind are not served yet.
///  - `malformed`: the body is not a job.
enum class rejection : std::uint8_t { no_config, unknown_queue, unsupported, malformed };

/// A job as decoded from the body of a caller's request.
struct job_request {
    std::string job;
    std::string payload;
    std::vector<wire::job_step> steps;
    bool durable = false;        ///< must outlive the caller's connection
    bool repeated = false;       ///< runs more than once
    bool perpetual = false;      ///< runs until it is cancelled
    bool fills_leftover = false; ///< uses only resources that other jobs leave free
};

/// The decisions of one host, based on input from the store, other hosts, workers and callers. Each
/// event is a call with the current time; all output goes through the ports.
class fleet_host {
public:
    using config_decoder =
        std::function<result<cluster_config, std::string>(const std::string& record)>;

    fleet_host(host_identity self, std::vector<std::string> domains, worker_port& workers,
               peer_port& peers, caller_port& callers, metrics::registry& metrics,
               config_decoder decode, time_point now);

    // From the store.

    /// The store has assigned this process the number that its epochs and fencing tokens are based
    /// on. No other process gets the same number, and it is higher than all earlier ones.
    void fence_base_granted(std::uint64_t number) { claims_.fence_base_granted(number); }
    /// Applies a record of the configuration. An unreadable or older one is ignored.
    void config_read(const std::string& record, time_point now);
    /// The complete set of drained domains, as of the records of the operators' topic before
    /// `offset`. Ignored if this host knows a state that is at least as new.
    /// \param source of the information, for the log
    void drains_known(std::uint64_t offset, const std::set<std::string>& domains,
                      std::string_view source, time_point now);
    /// \return true if the worker differs from the known one, or why it is not used
    result<bool, std::string> worker_listed(worker_entry entry);
    void worker_unlisted(const std::string& id, time_point now) { workers_.remove(id, now); }
    /// Every listed worker has been read at least once: this host may claim shards.
    void workers_complete() { claims_.workers_complete(); }
    void host_listed(const wire::host_record& record, time_point now);
    void store_answered(bool answered, time_point now) { workers_.store_answered(answered, now); }

    /// Number of hosts of the domain that read the store before this one.
    std::size_t reading_rank(time_point now) const;
    /// Sends records of the store to the other hosts of the domain.
    void pass_on(const wire::store_records& records);
    /// Sets the receiver of records that another host has read and passed on.
    void on_store_records(std::function<void(const wire::store_records&, time_point)> handler)
    {
        store_records_handler_ = std::move(handler);
    }

    // From other hosts.

    void peer_linked(const std::string& host, const std::string& domain, std::uint64_t incarnation,
                     time_point now);
    void peer_unlinked(const std::string& host, time_point now);
    void peer_message(const std::string& host, const wire::message& message, time_point now);

    // From callers.

    /// Queue of a request, or why it is rejected. The pointer is valid until the next event. After
    /// a pause of the process, what is overdue is done first.
    result<const queue_config*, rejection> find_queue(const std::string& virtual_host,
                                                      const std::string& path, time_point now);
    /// Accepts a job for the queue, or returns why it is rejected. The answer to the job is sent
    /// through the caller port.
    std::optional<rejection> submit(std::uint64_t request, const queue_config& queue,
                                    job_request job, duration time_limit, time_point now);
    /// Counts and logs a rejection.
    /// \param job id of the job, or the last segment of the path if the id is not known
    /// \return the reason
    rejection reject(rejection reason, const std::string& job, time_point now);
    job_router& router() noexcept { return *router_; }
    /// Cancels a job wherever it is: no task of it runs on, and none starts later.
    /// \return false if this host did not take it
    bool cancel(const std::string& job, time_point now);

    void tick(time_point now);

    /// True if requests can be served: the configuration is current, and an owner is known.
    bool ready(time_point now) const;
    /// True if this host has a configuration, and no newer version has been known for
    /// `config_state::lag_limit`.
    bool config_current(time_point now) const { return config_.current(now); }
    const std::optional<cluster_config>& config() const noexcept { return config_.config(); }

    /// Begins the planned stop: claims no further shards and hands over those that it owns.
    /// \param end_by time at which the jobs that are still open are answered, and the tasks that
    ///        still run at its shards are stopped so that their requesters send the jobs elsewhere
    void leave(time_point end_by, time_point now);
    /// Ends the planned stop: answers the jobs that are still open, refuses those that still
    /// arrive, and gives up the shards that it still owns. Call no `tick` afterwards.
    void finish_leaving(time_point now);
    /// True once no shard is owned and all jobs have been answered.
    bool drained() const;

    /// Known hosts that are not linked, to which the daemon should connect.
    std::vector<wire::host_record> unlinked_hosts() const;

    const host_identity& self() const noexcept { return self_; }

    /// The report that this host sends to others, without the lists of workers.
    wire::host_report report(time_point now) const { return reports_.report(now); }

private:
    shard_claims::callbacks claim_callbacks();
    std::vector<owner_view> owners(time_point now) const;
    bool knows_domain(const std::string& domain) const;
    /// Logs a drain of an unknown domain once.
    void log_unknown_drain(const std::string& domain, std::string_view source);
    void log_drains(const std::set<std::string>& former, std::string_view source);
    /// True if no domain is left in which a task may be started.
    bool all_domains_drained() const;
    void send_to_owner(const std::string& host, wire::message message, time_point now);
    void handle_order(const std::string& from, wire::job_order order, time_point now);
    /// Refuses an order that may have been on its way for longer than `max_order_age`.
    void refuse_stale(const std::string& from, const wire::job_order& order, duration age,
                      time_point now);
    /// Sends a result to the host that waits for the job, which may be this one.
    void send_result(const std::string& host, const wire::job_result& result, time_point now);
    void handle_report(const std::string& from, const wire::host_report& report, time_point now);
    void send_host_list(const std::string& host);
    void request_host_list(const std::string& host, time_point now);
    /// Asks one of the linked hosts for its list if that has not happened for a while.
    void request_host_list(time_point now);
    /// False for records of the operators' topic from a host of an earlier version, which leaves
    /// out the drains. This host then misses records and reads the topic itself.
    bool passes_on_all(const std::string& host, const wire::store_records& records) const;
    void fetch_config(time_point now);
    void broadcast(const wire::message& message);
    /// Ends what this host has of a job that its caller has cancelled.
    /// \param from host that told of it
    void apply_cancellation(const std::string& job, const std::string& from, bool passed_on,
                            time_point now);
    /// The requester has given the job up: ends it at the shards that this host owns.
    void withdraw_owned(const std::string& job, const std::string& requester, time_point now);
    void drop_silent_hosts(time_point now);
    /// Does an overdue tick before the event that comes first after a pause of this process: jobs
    /// whose time is over or whose callers have left end, and links on which this host may have
    /// been given up are closed.
    void catch_up(time_point now);
    /// Learns after a pause of this process who still counts on it: ends the jobs whose callers
    /// have left, and closes the links to hosts that share jobs with it.
    void find_who_is_left(duration pause);
    void drop_links_with_jobs();

    host_identity self_;
    std::vector<std::string> domains_;
    peer_port& peers_;
    caller_port& callers_;
    metrics::registry& metrics_;
    config_decoder decode_;
    request_log log_;
    host_directory directory_;
    worker_directory workers_;
    cancelled_jobs cancelled_;
    finished_jobs finished_;
    std::unique_ptr<job_router> router_;
    config_state config_;
    drain_state drains_;
    shard_claims claims_;
    report_sender reports_;
    std::set<std::string> unknown_drains_; ///< drains of unknown domains that were logged
    std::function<void(const wire::store_records&, time_point)> store_records_handler_;
    std::uint64_t config_requests_ = 0;
    std::uint64_t host_list_requests_ = 0;
    time_point host_list_requested_{};
    pause_monitor pause_;
};

} // namespace chivewharf::fleet

template <>
struct chivewharf::enum_names<chivewharf::fleet::rejection> {
    static constexpr std::array<std::string_view, 4> names{"no_config", "unknown_queue",
                                                           "unsupported", "malformed"};
};
