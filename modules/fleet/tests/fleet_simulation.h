#pragma once

#include "held_traffic.h"

#include <base/rng.h>
#include <cstdint>
#include <fleet/fleet.h>
#include <functional>
#include <map>
#include <memory>
#include <metrics/registry.h>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <testing/support/sim_worker.h>
#include <vector>

namespace chivewharf::fleet {

using testing_support::sim_worker;

/// Simulates entry hosts, workers, a store and callers in virtual time, with fault injection. It
/// checks the invariants from what the workers and the callers observe.
class fleet_simulation {
public:
    struct options {
        std::vector<unsigned> hosts{3, 2, 2}; ///< of each domain
        unsigned workers = 4;                 ///< of each domain
        /// Processor time of each domain's hosts, thousandths of a core; 250 for hosts beyond its
        /// end.
        std::vector<std::uint32_t> processor_milli{};
        std::uint64_t seed = 1;
    };

    /// A job as its caller sees it.
    struct caller_job {
        std::string id;
        unsigned attempts = 0;
        std::vector<std::string> answers;    ///< one per answered attempt
        bool started = false;                ///< a task was started on a worker
        duration retry_after{};              ///< of the last answer
        std::optional<time_point> cancelled; ///< when the cancellation was acknowledged
        time_point first{};
        time_point answered{};
    };

    explicit fleet_simulation(options chosen);
    ~fleet_simulation();
    fleet_simulation(const fleet_simulation&) = delete;
    fleet_simulation& operator=(const fleet_simulation&) = delete;

    void run_for(duration time);
    time_point now() const noexcept { return now_; }

    /// Submits a job to a host now. The caller submits it again if its answer is lost.
    void submit(const std::string& job, const std::string& host, std::vector<wire::job_step> steps,
                duration time_limit = seconds{2}, std::uint32_t priority = 0);
    /// The caller's next attempt goes to this host. Attempts beyond the chosen ones go to any.
    void resend_to(const std::string& job, const std::string& host);
    /// The caller cancels the job at a host, which may not be the one that took it.
    void cancel(const std::string& job, const std::string& host);
    void at(duration in, std::function<void()> call);

    // Faults.
    /// Resets the connection on which the caller waits for the job's answer. The caller sends the
    /// job again after its pause.
    void reset_connection(const std::string& job, const std::string& host);
    void kill(const std::string& host);
    void boot(const std::string& host);
    /// Stops or resumes the process. When it resumes, its tick, the links that were dialled, and
    /// the input of each source come in a random order; what one source delivers stays in order.
    void freeze(const std::string& host, bool frozen);
    /// Cuts or restores the path between two hosts. What is sent meanwhile arrives when the path is
    /// back, up to `held_traffic::unacknowledged_limit`.
    void cut(const std::string& a, const std::string& b, bool cut);
    /// Cuts or restores the path from one host to another; the path back is not changed. As with
    /// TCP, no link can be opened between them while one direction is cut.
    void cut_direction(const std::string& from, const std::string& to, bool cut);
    /// Cuts or restores the path from a host to every worker.
    void cut_workers(const std::string& host, bool cut);
    /// Cuts or restores the path from a host to the workers of a domain.
    void cut_domain_workers(const std::string& host, const std::string& domain, bool cut);
    void crash_worker(const std::string& worker);
    void store_up(bool up) { store_up_ = up; }
    /// Makes the store available or unavailable to this host only.
    void store_up(const std::string& host, bool up);
    /// Adds the worker's entry to the store or removes it; the worker runs on.
    void list_worker(const std::string& worker, bool listed);
    void publish(std::uint64_t version);
    /// An operator requests or removes the drain of a domain. A start in a drained domain is a
    /// violation once the request is older than `drain_limit`.
    void drain(const std::string& domain, bool drained);
    /// Begins a planned stop.
    /// \param time until open jobs are answered; the process runs on until `kill`
    void stop(const std::string& host, duration time = milliseconds{5300});
    /// Ends a planned stop: the process gives up what it still has, and ends.
    void finish_stop(const std::string& host);

    fleet_host* host(const std::string& name);
    sim_worker& worker(const std::string& id) { return workers_.at(id); }
    std::vector<std::string> host_names() const;
    std::vector<std::string> worker_names() const;
    const std::map<std::string, caller_job>& jobs() const { return jobs_; }
    metrics::registry& metrics(const std::string& host);
    /// Claims that the host reports; none if it is not alive.
    std::vector<wire::shard_claim> claims(const std::string& host) const;
    /// Number of messages that the host has sent to others.
    std::uint64_t messages_of(const std::string& host) const;
    /// Number of configurations that hosts have sent to each other.
    std::uint64_t config_records() const noexcept { return config_records_; }

    /// Descriptions of violated invariants.
    const std::vector<std::string>& violations() const { return violations_; }
    std::uint64_t starts() const { return starts_; }
    /// Number of tasks that were started in the domain.
    std::uint64_t starts_in(const std::string& domain) const;
    rng& random() { return random_; }

private:
    friend class sim_worker_port;
    friend class sim_peer_port;
    friend class sim_caller_port;
    struct sim_host;
    struct event {
        time_point at;
        std::uint64_t number;
        std::function<void()> call;
        bool operator<(const event& other) const
        {
            return std::tie(other.at, other.number) < std::tie(at, number);
        }
    };
    struct pending_poll {
        std::string host;
        std::uint64_t incarnation;
        status_request order;
        time_point until;
        std::function<void(status_reply)> reply;
    };

    void schedule(time_point when, std::function<void()> call);
    /// Runs the call in the host if it is still the same process: at once, or when it resumes if it
    /// is frozen.
    /// \param source of the input
    void deliver(const std::string& host, std::uint64_t incarnation, const std::string& source,
                 std::function<void()> call);
    /// Runs the oldest call that the source delivered while the process was frozen.
    /// \return false if there is none
    bool deliver_next_deferred(const std::string& host, const std::string& source);
    /// \return number of calls that were run
    std::size_t deliver_deferred(const std::string& host, const std::string& source);
    void tick(const std::string& host, std::uint64_t incarnation);
    void deliver_store_records(sim_host& host);
    void link_hosts();
    /// Links two hosts that are not linked, if their processes and the path permit it.
    void link_pair(const std::string& a, const std::string& b);
    /// Sends bytes from one host to another. They arrive after what was sent before.
    void transmit(const std::string& from, const std::string& to, std::function<void()> arrival);
    /// The sender's kernel closes the connection if held bytes have reached their limit.
    void give_up(const held_traffic::path& path);
    void release_held(const std::string& from, const std::string& to);
    /// The first host closes its end of the link; the other end learns of it later.
    void unlink(const std::string& a, const std::string& b);
    /// Ends a host's side of the link with the number.
    void end_link(const std::string& host, const std::string& peer, std::uint64_t number);
    /// True if messages from one host do not arrive at the other.
    bool path_cut(const std::string& from, const std::string& to) const;
    void start_on(sim_worker& worker, const start_order& order, order_reply& reply);
    void stop_on(sim_worker& worker, const stop_order& order, order_reply& reply);
    status_reply poll_status(sim_worker& worker, const status_request& order);
    void settle_worker(sim_worker& worker);
    void answer_polls(const std::string& worker);
    void check_capacity(const sim_worker& worker);
    void check_single_run(const std::string& task, const std::string& worker);
    void attempt(const std::string& job);
    /// Ends the connection of the caller's current attempt.
    /// \param answer that the attempt counts as
    void disconnect(const std::string& job, const std::string& host, std::string_view answer);
    void answered(const std::string& job, std::string_view answer);
    bool reachable(const std::string& host, const sim_worker& worker) const;
    void violation(std::string text);

    options options_;
    rng random_;
    time_point now_;
    std::uint64_t events_ = 0;
    std::priority_queue<event> queue_;
    std::map<std::string, std::unique_ptr<sim_host>> hosts_;
    std::map<std::string, sim_worker> workers_;
    std::map<std::string, std::vector<pending_poll>> pending_polls_;
    std::map<std::string, caller_job> jobs_;
    std::map<std::string, std::pair<std::vector<wire::job_step>, duration>> specifications_;
    std::map<std::string, std::vector<std::string>> chosen_hosts_; ///< by job and attempt
    std::map<std::string, std::uint32_t> priorities_;              ///< by job, if not 0
    std::set<std::pair<std::string, std::string>> cut_hosts_;
    held_traffic held_;
    std::uint64_t next_link_ = 0;
    std::set<std::string> cut_from_workers_;
    std::set<std::pair<std::string, std::string>> cut_from_domains_; ///< host and workers' domain
    std::vector<std::string> violations_;
    std::uint64_t next_incarnation_ = 100;
    std::uint64_t next_number_ = 0; ///< number of the next host record in the store
    std::uint64_t version_ = 1;
    std::uint64_t starts_ = 0;
    std::map<std::string, std::uint64_t> domain_starts_;
    std::uint64_t operator_offset_ = 1; ///< end of the operators' topic
    std::map<std::string, time_point> drained_since_;
    std::set<std::pair<std::string, std::string>> cut_directions_; ///< sender and receiver
    std::uint64_t config_records_ = 0;
    std::set<std::string> hosts_without_store_;
    std::set<std::string> unlisted_workers_;
    bool store_up_ = true;
};

} // namespace chivewharf::fleet
