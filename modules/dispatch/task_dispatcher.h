#pragma once

#include <base/rng.h>
#include <cstdint>
#include <dispatch/action.h>
#include <dispatch/customer_directory.h>
#include <dispatch/identity.h>
#include <dispatch/policy_options.h>
#include <dispatch/promise_audit.h>
#include <dispatch/spill_targets.h>
#include <dispatch/start_guard.h>
#include <map>
#include <memory>
#include <metrics/registry.h>
#include <optional>
#include <sched/sched.h>
#include <set>
#include <settings/cluster_settings.h>
#include <string>
#include <submission/submission_table.h>
#include <unordered_map>
#include <upstream/slot_sharing.h>
#include <upstream/worker_pool.h>
#include <vector>

namespace chivewharf::dispatch {

/// Outcome of sending a task to a worker, as reported by the shell, which does the network I/O.
enum class call_end : std::uint8_t {
    answered,  ///< complete answer with status 200
    failed,    ///< any other status: the task ran and failed
    refused,   ///< the runner reported that the task did not start
    not_sent,  ///< no byte left this process
    withheld,  ///< `confirm_start` returned false; no byte left this process
    lost,      ///< the connection ended after the first byte
    silent,    ///< no answer until the deadline
    truncated, ///< the answer ended before its declared length
    too_large, ///< the answer was larger than the limit
    aborted,   ///< closed because of `abort_call`
};

/// Outcome of a send with the details that the shell observed.
struct call_report {
    call_end end = call_end::lost;
    std::string body;     ///< body of an answer with status 200
    std::string message;  ///< describes a failure
    bool leaving = false; ///< the runner announced its shutdown
};

/// Tasks of a submission to check for admission or to queue.
struct job_request {
    submission::submission_key key;
    sched::customer_id customer = 0;
    std::string service;
    time_point deadline;
    const std::vector<submission::task_request>* tasks = nullptr;
    bool spilled = false; ///< spilled by an entry host of another domain; the submission id then
                          ///< names the task
};

/// Is notified when a submission gets its final answer.
class settlement_observer {
public:
    settlement_observer() = default;
    settlement_observer(const settlement_observer&) = delete;
    settlement_observer& operator=(const settlement_observer&) = delete;
    virtual ~settlement_observer() = default;
    virtual void on_settled(const submission::submission_key& key,
                            const submission::consequence& effect) = 0;
};

/// Schedules the queued tasks of this entry host onto workers and handles the outcome of each send:
/// settles the submission, retries or fails it. Connects the submission table, the queues and the
/// worker pool.
class task_dispatcher {
public:
    /// \param table, guard, observer, metrics, actions, random must outlive the dispatcher
    task_dispatcher(submission::submission_table& table, const start_guard& guard,
                    settlement_observer& observer, metrics::registry& metrics, action_list& actions,
                    rng& random, const identity& self, policy_options options = {});
    ~task_dispatcher();
    task_dispatcher(const task_dispatcher&) = delete;
    task_dispatcher& operator=(const task_dispatcher&) = delete;

    /// Sets the observer for tasks that other domains spilled to this host. Must be called once,
    /// right after construction.
    void set_spill_observer(settlement_observer& observer) { spill_observer_ = &observer; }

    /// Applies a configuration: services, customers' shares and limits, and the workers of the
    /// domain. Submissions of removed services fail, and so do those submissions of removed
    /// customers that have queued tasks.
    void apply(const settings::cluster_settings& settings, const customer_directory& customers,
               std::string_view domain, time_point now);

    /// Checks whether a submission would be admitted.
    /// \return a verdict with `none`, `unknown_service`, `no_upstream` or a reason given by
    /// `sched::admission`
    sched::admission_verdict check(const job_request& wanted, time_point now);

    /// Queues the tasks of a submission that the submission table has admitted.
    void enqueue(const job_request& job, time_point now);

    /// Starts as many queued tasks as free slots and limits allow.
    void start_queued_tasks(clock_reading now);

    /// Checks that the deadline has not passed and that the ownership lease still holds. Must be
    /// called right before the first byte of a send is written.
    bool confirm_start(call_id call, time_point now) const;

    /// Processes the outcome of a send.
    void task_ended(call_id call, call_report report, time_point now);

    /// Hosts of other domains to which tasks can be spilled.
    spill_targets& targets() noexcept { return targets_; }
    const spill_targets& targets() const noexcept { return targets_; }

    /// Free slots of each service without queued tasks, as reported to other domains.
    wire::load_report load_report() const;

    /// Processes the answer of a host to which a task was spilled.
    void spill_answered(const std::string& host, wire::spill_answer answer, time_point now);

    /// Handles the loss of the link to a host: tasks spilled to it count as lost, because they may
    /// have run.
    void peer_down(const std::string& host, time_point now);

    /// Cancels a submission.
    submission::consequence cancel(const submission::submission_key& key, time_point now);

    /// Fails a submission unless it already has a final answer.
    void fail(const submission::submission_key& key, reason cause, const std::string& message,
              time_point now);

    /// Fails submissions and spilled tasks that are past their deadline and updates the worker
    /// pool.
    void tick(time_point now);

    /// Earliest time at which `tick` or `start_queued_tasks` has work; none if only the regular
    /// interval applies.
    std::optional<time_point> next_due() const;

    upstream::worker_pool& pool() noexcept { return pool_; }
    upstream::slot_sharing& sharing() noexcept { return sharing_; }
    sched::limits& limits() noexcept { return limits_; }

    /// Charges a customer, in every service, for usage on other hosts of the domain.
    void charge_remote(sched::customer_id customer, double slot_seconds);

    /// Slot-seconds used by this host's tasks since process start, by customer.
    const std::map<sched::customer_id, double>& usage() const noexcept { return usage_; }

    /// Load of a customer in a service; all zero if either is unknown.
    sched::customer_load load(const std::string& service, sched::customer_id customer) const;

    std::vector<std::string> services() const;
    std::size_t calls_in_flight() const noexcept { return calls_.size(); }
    std::size_t queued_tasks() const;

private:
    struct service_state;
    struct job;
    struct call;

    service_state* find_service(std::string_view name);
    void apply_services(const settings::cluster_settings& settings, time_point now);
    void apply_customers(const settings::cluster_settings& settings,
                         const customer_directory& customers, time_point now);
    void apply_workers(const settings::cluster_settings& settings, std::string_view domain,
                       time_point now);
    void remove_customer(sched::customer_id customer, time_point now);
    void refresh_capacity(service_state& service);
    /// Number of queued tasks for which slots are requested from other hosts.
    std::uint32_t backlog(const service_state& service) const;
    void start_service_tasks(service_state& service, clock_reading now);
    void send_to_worker(service_state& service, const sched::task_pick& pick, job& parent,
                        upstream::worker_id worker, clock_reading now);
    bool try_spill(service_state& service, const sched::task_pick& pick, job& parent,
                   clock_reading now);
    call_id register_call(service_state& service, const sched::task_pick& pick, job& parent,
                          std::uint32_t attempt, clock_reading now);
    void expire_spills(time_point now);
    void add_spill_action(const submission::submission_request& request, call_id number,
                          const call& sent_call, clock_reading now);
    void add_send_action(const submission::submission_request& request, call_id number,
                         const call& sent_call, clock_reading now);
    static submission::attempt_result to_attempt_result(call_report& report);
    void record_outcome(const call& ended, const call_report& report, time_point now);
    void retry(const call& ended, reason cause, time_point now);
    void settle(const submission::submission_key& key, const submission::consequence& effect);
    void release(sched::job_handle handle);

    policy_options options_;
    submission::submission_table& table_;
    const start_guard& guard_;
    settlement_observer& observer_;
    action_list& actions_;
    rng& random_;
    metrics::reason_counters& retry_reasons_;
    metrics::latency_histogram& queue_wait_;
    metrics::latency_histogram& run_time_;
    std::uint64_t& starts_;
    std::uint64_t& late_results_;
    promise_audit audit_;
    std::uint64_t& spills_;
    settlement_observer* spill_observer_ = nullptr;
    spill_targets targets_;
    std::set<std::pair<time_point, call_id>> spill_deadlines_;
    sched::limits limits_;
    sched::run_time_estimator estimator_;
    std::unique_ptr<sched::job_order> order_;
    upstream::worker_pool pool_;
    upstream::slot_sharing sharing_;
    std::map<std::string, std::unique_ptr<service_state>, std::less<>> services_;
    std::unordered_map<sched::job_handle, job> jobs_;
    std::unordered_map<call_id, call> calls_;
    std::map<sched::customer_id, double> usage_;
    std::set<sched::customer_id> known_customers_;
    /// Starts at the incarnation number, so that an answer to a task that a predecessor process
    /// spilled matches no call.
    call_id next_call_;
};

} // namespace chivewharf::dispatch

template <>
struct chivewharf::enum_names<chivewharf::dispatch::call_end> {
    static constexpr std::array<std::string_view, 10> names{
        "answered", "failed", "refused",   "not_sent",  "withheld",
        "lost",     "silent", "truncated", "too_large", "aborted"};
};
