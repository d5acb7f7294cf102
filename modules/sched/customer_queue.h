#pragma once

#include <base/time.h>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <sched/job_order.h>
#include <sched/types.h>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace chivewharf::sched {

/// A task that must not start before a given time.
struct deferred_task {
    time_point not_before{};
    job_handle job = 0;
    queued_task task;

    friend bool operator<(const deferred_task& a, const deferred_task& b)
    {
        return std::tie(a.not_before, a.job, a.task.index) <
               std::tie(b.not_before, b.job, b.task.index);
    }
};

/// The queued jobs of one customer. Jobs with a started task have precedence over new jobs;
/// otherwise the `job_order` decides. Within a job, the task with the longest expected run time
/// goes first. Unless stated otherwise, operations are logarithmic in the number of jobs. Used by
/// `fair_queue`.
class customer_queue {
public:
    /// The first ready task in order.
    struct head {
        job_handle job = 0;
        queued_task task;
        time_point arrived{};
    };

    /// The tasks that were still queued when a job was removed.
    struct removed_job {
        job_handle job = 0;
        std::vector<queued_task> ready;
        std::vector<deferred_task> deferred;
    };

    /// \param order must outlive the queue
    explicit customer_queue(const job_order& order) : order_{&order} {}

    /// Adds a job that is not in the queue.
    void add(job_handle job, time_point arrived, std::vector<queued_task> tasks);

    /// First task in order; none if no task is ready.
    std::optional<head> front() const;

    /// Removes the task returned by `front` and marks its job as started.
    void pop_front();

    /// Returns a removed task to the queue as ready.
    void put_back(job_handle job, time_point arrived, queued_task task);

    /// Returns a removed task to the queue; it stays deferred until `release` is called for it.
    void defer(const deferred_task& task, time_point arrived);

    /// Makes a deferred task ready.
    void release(const deferred_task& task);

    /// Removes a job; none if it is not in the queue. Linear in its queued tasks.
    std::optional<removed_job> remove(job_handle job);

    /// Removes all jobs.
    std::vector<removed_job> clear();

    bool has_ready() const noexcept { return !order_index_.empty(); }
    bool contains(job_handle job) const { return jobs_.contains(job); }

    /// Number of ready and deferred tasks.
    std::size_t tasks() const noexcept { return tasks_; }

    /// Total estimated run time of the ready and deferred tasks.
    duration work() const noexcept { return work_; }

private:
    struct index_key {
        bool is_new = true;
        double key = 0;
        std::uint64_t sequence = 0;
        job_handle job = 0;

        friend bool operator<(const index_key& a, const index_key& b)
        {
            return std::tie(a.is_new, a.key, a.sequence, a.job) <
                   std::tie(b.is_new, b.key, b.sequence, b.job);
        }
    };
    struct job_state {
        std::vector<queued_task> ready; // ascending by expected run time
        std::vector<deferred_task> deferred;
        duration remaining{};
        time_point arrived{};
        index_key position;
    };

    job_state& find_or_add_started(job_handle job, time_point arrived);
    void insert_ready(job_state& job, queued_task task);
    void index(job_state& job);
    void unindex(const job_state& job);
    removed_job extract(job_handle handle, job_state& job);

    const job_order* order_;
    std::unordered_map<job_handle, job_state> jobs_;
    std::set<index_key> order_index_; // jobs with a ready task
    std::uint64_t next_sequence_ = 0;
    std::size_t tasks_ = 0;
    duration work_{};
};

} // namespace chivewharf::sched
