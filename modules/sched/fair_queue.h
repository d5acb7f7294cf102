#pragma once

#include <base/time.h>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <sched/customer_queue.h>
#include <sched/job_order.h>
#include <sched/limits.h>
#include <sched/sched_error.h>
#include <sched/types.h>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chivewharf::sched {

/// Share of one customer in one service.
struct share_policy {
    double weight = 1;    ///< positive; backlogged customers share slots in this proportion
    double min_share = 0; ///< fraction of the slots below which the customer has precedence, [0, 1]
    double max_share = 1; ///< fraction of the slots that it may use at once, (0, 1]
};

/// The task to start next.
struct task_pick {
    customer_id customer = 0;
    job_handle job = 0;
    std::uint32_t task = 0;
    duration cost{};      ///< estimated run time; the caller may replace it by a newer estimate
    time_point arrived{}; ///< when the job was queued
};

/// Load of one customer in the queue.
struct customer_load {
    std::size_t queued_tasks = 0;
    duration queued_work{}; ///< total estimated run time of the queued tasks
    std::uint32_t running = 0;
    double weight_part = 1; ///< its weight / total weight of it and all customers with queued tasks
    double max_share = 1;
};

/// Queue of one service: work-conserving start-time fair queueing between customers. The customer
/// with the lowest virtual start tag goes first; each start advances its tag by cost / weight.
/// Unless stated otherwise, operations are logarithmic in the numbers of customers and jobs.
///
/// A task passes through `enqueue`, `next` and `started`, then through exactly one of `ended`,
/// `put_back` and `not_run`.
class fair_queue final : public limit_observer {
public:
    /// \param shared limits of the customers across all services; must outlive the queue
    /// \param order order of jobs within a customer; must outlive the queue
    fair_queue(limits& shared, const job_order& order);
    fair_queue(const fair_queue&) = delete;
    fair_queue& operator=(const fair_queue&) = delete;
    ~fair_queue() override;

    /// Adds a customer or changes its share. Its queued tasks are kept.
    /// \return `invalid_policy` for a weight or share out of range
    result<void, sched_error> set_customer(customer_id customer, const share_policy& policy);

    /// Removes a customer and returns its queued tasks, so that the caller can report them as not
    /// run. The end of its running tasks must still be reported. Linear in its queued tasks.
    std::vector<customer_queue::removed_job> remove_customer(customer_id customer);

    /// Sets the number of slots that this host may use for the service, to which minimum and
    /// maximum shares refer. Linear in customers if the number changes.
    void set_capacity(std::uint32_t slots);

    /// Queues the tasks of an admitted job.
    /// \return `unknown_customer`, `duplicate_job` or `no_tasks`
    result<void, sched_error> enqueue(customer_id customer, job_handle job,
                                      std::vector<queued_task> tasks, time_point now);

    /// Task to start next; none if no task is queued or all are held back by limits. Repeated calls
    /// return the same task unless the queue has changed or a held-back task has become ready in
    /// between. Must only be called while a slot is free.
    std::optional<task_pick> next(time_point now);

    /// Removes the task from the queue and charges `pick.cost` to its customer. `pick` must be the
    /// result of the last `next`, with no other change to the queue in between.
    void started(const task_pick& pick, time_point now);

    /// Reports that a started task has ended. Corrects the customer's charge to the true cost.
    void ended(customer_id customer, duration estimated, duration true_cost);

    /// Returns a started task that certainly did not run to the queue and undoes the charge. `next`
    /// does not return it before `not_before`. Must not be called for tasks of a removed job.
    /// \return false if the customer was removed; the task is then not queued
    bool put_back(const task_pick& pick, time_point not_before);

    /// Undoes the charge for a started task that certainly did not run, without queueing it again.
    void not_run(const task_pick& pick);

    /// Removes and returns the queued tasks of a job that was cancelled, has failed or is past its
    /// deadline; empty if it has none. Linear in these tasks.
    std::vector<queued_task> remove_job(job_handle job);

    /// Charges the customer's usage on other hosts of the failure domain.
    /// \param slot_seconds usage since the last charge; negative values correct earlier ones
    void charge_remote(customer_id customer, double slot_seconds);

    /// Earliest time at which a task that is held back by a rate limit or a backoff may become
    /// ready, for setting a timer; none if there is no such task.
    std::optional<time_point> wake_at() const;

    /// Load of one customer; zero for an unknown customer.
    customer_load load(customer_id customer) const;

    bool has_customer(customer_id customer) const;
    std::size_t queued_tasks() const noexcept { return queued_tasks_; }
    duration queued_work() const noexcept { return queued_work_; }
    std::uint32_t running() const noexcept { return running_; }
    std::uint32_t capacity() const noexcept { return capacity_; }

    void on_limit_change(customer_id customer) override;

private:
    /// Index that currently contains the customer. `none` and `at_limit` have no index.
    enum class index_kind : std::uint8_t { none, fair, below_minimum, rate_limited, at_limit };

    struct state {
        explicit state(const job_order& order) : jobs{order} {}

        share_policy policy;
        bool removed = false;
        customer_queue jobs;
        std::uint32_t running = 0;
        double tag = 0;                // virtual time in slot-seconds per weight
        double last_remote_charge = 0; // virtual time of the last remote charge
        index_kind indexed_in = index_kind::none;
        time_point blocked_until{};
    };
    using tag_index = std::set<std::pair<double, customer_id>>;

    state* find(customer_id customer);
    const state* find(customer_id customer) const;
    void remove_from_index(customer_id customer, state& s);
    void add_to_index(customer_id customer, state& s);
    void reindex(customer_id customer, state& s);
    void advance_tag(customer_id customer, state& s, double slot_seconds);
    template <class Change>
    void update(customer_id customer, state& s, Change change);
    void release_due(time_point now);
    bool suspend_if_limited(customer_id customer, state& s, time_point now);
    void count_end(customer_id customer, state& s);
    void erase_if_drained(customer_id customer);
    void end_busy_period();
    std::uint32_t max_slots(const state& s) const;
    double min_slots(const state& s) const;
    tag_index* index_of(index_kind kind);

    limits* limits_;
    const job_order* order_;
    std::unordered_map<customer_id, state> customers_;
    std::unordered_map<job_handle, customer_id> owners_;
    tag_index fair_;
    tag_index below_minimum_;
    std::set<std::pair<time_point, customer_id>> rate_limited_;
    std::set<deferred_task> deferred_;
    double virtual_time_ = 0;
    double max_tag_ = 0;
    double backlogged_weight_ = 0;
    std::size_t queued_tasks_ = 0;
    duration queued_work_{};
    std::uint32_t running_ = 0;
    std::uint32_t capacity_ = 0;
};

} // namespace chivewharf::sched
