#pragma once

#include <base/time.h>
#include <fleet/backfill.h>
#include <fleet/demand_profile.h>
#include <fleet/job_run.h>
#include <fleet/managed_worker.h>
#include <fleet/outstanding_runs.h>
#include <fleet/run_time_model.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chivewharf::fleet {

using job_map = std::map<std::string, std::unique_ptr<job_run>>; ///< by id

/// Places the tasks of a shard's waiting jobs on its workers, in passes over the jobs in the order
/// in which they get resources.
class job_placer {
public:
    /// State of the shard owner that the placement depends on.
    struct context {
        worker_map& workers;
        const job_map& jobs;
        const run_time_model& model;
        const demand_profile& profile;
        /// Runs that may be on the workers, also those of ended jobs.
        const outstanding_runs& runs;
        /// True if tasks may take this much more processor time, in thousandths of a core.
        std::function<bool(std::int64_t cpu_milli)> share_admits;
    };
    struct job_times {
        time_point objective{}; ///< time by which the job should complete
        time_point start_by{};  ///< time until which a start is of use
    };
    /// Starts a task on a worker that has room for it.
    using start_function = std::function<void(job_run& job, task_position position,
                                              managed_worker& worker, time_point now)>;

    job_placer(context shard, start_function start);

    /// Begins a pass over the waiting jobs.
    void begin_pass() { backfill_.begin_pass(); }

    /// Starts the waiting tasks of the job as far as workers have room.
    /// \return true if no task of a step that is ready waits any more
    bool place(job_run& job, const job_times& times, time_point now);

private:
    /// A task of a step and the worker that it is to start on.
    struct placement {
        std::size_t index = 0;
        managed_worker* worker = nullptr;
    };

    /// Starts tasks of a step: all of them, or none if a former run of one may still be on a
    /// worker. Every start passes here.
    /// \return true if they were started
    bool start_tasks(job_run& job, std::size_t step, const std::vector<placement>& placements,
                     time_point now);
    /// Chooses workers for all members of a gang at the same time.
    /// \return empty if not all of them find one
    std::vector<placement> choose_gang_workers(const job_run& job, std::size_t step,
                                               time_point now);
    /// True if tasks with the demands of all steps have found no worker in this pass.
    bool known_not_to_fit(const job_run& job) const;
    bool place_tasks(job_run& job, time_point objective, time_point now);
    bool place_gang(job_run& job, std::size_t step, time_point now);
    bool place_task(job_run& job, task_position position, time_point objective, time_point now);
    managed_worker* choose_worker(const job_run& job, task_position position, time_point objective,
                                  time_point now);
    /// Number of further tasks of the step that its spread limit permits on the worker. Tasks of a
    /// former submission that are being stopped there count, too.
    std::size_t spread_left(const job_run& job, std::size_t step, const std::string& worker) const;
    /// True if the worker may run the task once it has room.
    bool may_run(const managed_worker& worker, const job_run& job, task_position position,
                 time_point now) const;
    /// True if the task may start on the worker now.
    bool admits(const managed_worker& worker, const job_run& job, task_position position,
                time_point now) const;
    /// True if only room is missing for a task of the job: what it has not found, others with the
    /// same demand don't find either.
    bool waits_for_room_only(const job_run& job) const;
    /// True if a former run of the task may still be on a worker: the task waits for its end.
    bool has_former_run(const job_run& job, task_position position) const
    {
        return shard_.runs.contains(job.task_name(position));
    }
    /// Logs once for each job that it waits for the end of a task's former run.
    static void log_former_run(job_run& job, task_position position);
    /// Reserves the worker that is expected to have room for the job's next task first. Does
    /// nothing if the service has a reservation, the next task belongs to a gang, its demand is
    /// less than 1.2 times the typical one, or the room comes too late.
    void reserve_worker(const job_run& job, task_position next, time_point start_by,
                        time_point now);
    std::vector<expected_release> releases_of(const managed_worker& worker, time_point now) const;

    context shard_;
    start_function start_;
    backfill backfill_;
};

} // namespace chivewharf::fleet
