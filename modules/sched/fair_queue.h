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
    double weight = 1;    ///< positive; backlogged customers share in proportion to it
    double min_share = 0; ///< part of the usable slots below which the customer goes first, [0, 1]
    double max_share = 1; ///< part of the usable slots that it may hold at once, (0, 1]
};

/// The task to start next.
struct task_pick {
    customer_id customer = 0;
    job_handle job = 0;
    std::uint32_t task = 0;
    duration cost{};      ///< estimated run time; the caller may set a newer estimate
    time_point arrived{}; ///< when the job was queued
};

/// What one customer has in the queue.
struct customer_load {
    std::size_t queued_tasks = 0;
    duration queued_work{}; ///< estimated run time of the queued tasks
    std::uint32_t running = 0;
    double weight_part = 1; ///< its weight / weights of all customers with queued tasks and its own
    double max_share = 1;
};

/// Queue of one service: work-conserving start-time fair queueing between customers. The customer
/// with the lowest virtual start tag goes first; a start advances its tag by cost / weight. Each
/// operation is logarithmic in customers and jobs unless stated otherwise.
///
/// A task passes through `enqueue`, `next`, `started` and then exactly one of `ended`, `put_back`
/// and `not_run`.
class fair_queue final : public room_observer {
public:
    /// \param shared limits of the customers, for all services; must outlive the queue
    /// \param order order of jobs within a customer; must outlive the queue
    fair_queue(limits& shared, const job_order& order);
    fair_queue(const fair_queue&) = delete;
    fair_queue& operator=(const fair_queue&) = delete;
    ~fair_queue() override;

    /// Adds a customer or changes its share. Its queued tasks stay.
    /// \return `invalid_policy` for a weight or share out of range
    result<void, sched_error> set_customer(customer_id customer, const share_policy& policy);

    /// Removes a customer and returns its queued tasks, so that they can be refused as not run.
    /// Its running tasks still report their end. Linear in its queued tasks.
    std::vector<customer_queue::removed_job> remove_customer(customer_id customer);

    /// Slots that this host may use for the service; minimum and maximum shares refer to it.
    /// Linear in customers when the number changes.
    void set_capacity(std::uint32_t slots);

    /// Queues the tasks of an admitted job.
    /// \return `unknown_customer`, `duplicate_job` or `no_tasks`
    result<void, sched_error> enqueue(customer_id customer, job_handle job,
                                      std::vector<queued_task> tasks, time_point now);

    /// Task to start next; none if none is queued or limits hold all back. Calling it again
    /// without `started` gives the same task unless an event came between. A caller that has no
    /// free slot does not call it.
    std::optional<task_pick> next(time_point now);

    /// Takes out the task that `next` returned last, with no other event between, and charges
    /// `pick.cost`.
    void started(const task_pick& pick, time_point now);

    /// A started task ended. The customer's charge is corrected to the true cost.
    void ended(customer_id customer, duration estimated, duration true_cost);

    /// A started task certainly did not run and is queued again; the charge is undone. It is not
    /// offered before `not_before`. The caller must not put back tasks of a job that it removed.
    /// \return false if the customer was removed: the task is not queued
    bool put_back(const task_pick& pick, time_point not_before);

    /// A started task certainly did not run and is not queued again; the charge is undone.
    void not_run(const task_pick& pick);

    /// Drops the queued tasks of a job (cancelled, failed or past its deadline) and returns them;
    /// empty if it has none. Linear in them.
    std::vector<queued_task> remove_job(job_handle job);

    /// Charges usage elsewhere in the failure domain to the customer.
    /// \param slot_seconds usage since the last charge; negative values correct earlier ones
    void charge_remote(customer_id customer, double slot_seconds);

    /// Earliest time at which a task held back by a rate limit or a backoff may become ready, for
    /// a timer; none if only other events can change the result of `next`.
    std::optional<time_point> wake_at() const;

    /// Load of one customer; zero for a customer that is not known.
    customer_load load(customer_id customer) const;

    bool has_customer(customer_id customer) const;
    std::size_t queued_tasks() const noexcept { return queued_tasks_; }
    duration queued_work() const noexcept { return queued_work_; }
    std::uint32_t running() const noexcept { return running_; }
    std::uint32_t capacity() const noexcept { return capacity_; }

    void on_room(customer_id customer) override;

private:
    enum class place : std::uint8_t { none, fair, below_minimum, rate_limited, no_room };

    struct state {
        explicit state(const job_order& order) : jobs{order} {}

        share_policy policy;
        bool removed = false;
        customer_queue jobs;
        std::uint32_t running = 0;
        double tag = 0;        // virtual time in slot-seconds per weight
        double charged_at = 0; // virtual time of the last remote charge
        place where = place::none;
        time_point blocked_until{};
    };
    using tag_index = std::set<std::pair<double, customer_id>>;

    state* find(customer_id customer);
    const state* find(customer_id customer) const;
    void leave(customer_id customer, state& s);
    void enter(customer_id customer, state& s);
    void refresh(customer_id customer, state& s);
    void advance(customer_id customer, state& s, double slot_seconds);
    template <class Change>
    void change(customer_id customer, state& s, Change apply);
    void release_due(time_point now);
    bool hold_back_if_limited(customer_id customer, state& s, time_point now);
    void stop_running(customer_id customer, state& s);
    void forget_if_done(customer_id customer);
    void end_busy_period();
    std::uint32_t max_slots(const state& s) const;
    double min_slots(const state& s) const;
    tag_index* index_of(place where);

    limits* limits_;
    const job_order* order_;
    std::unordered_map<customer_id, state> customers_;
    std::unordered_map<job_handle, customer_id> owners_;
    tag_index fair_;
    tag_index below_minimum_;
    std::set<std::pair<time_point, customer_id>> rate_limited_;
    std::set<deferred_task> deferred_;
    double virtual_time_ = 0;
    double greatest_tag_ = 0;
    double backlogged_weight_ = 0;
    std::size_t queued_tasks_ = 0;
    duration queued_work_{};
    std::uint32_t running_ = 0;
    std::uint32_t capacity_ = 0;
};

} // namespace chivewharf::sched
