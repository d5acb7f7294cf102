#pragma once

#include <base/time.h>
#include <cstdint>
#include <fleet/demand_profile.h>
#include <fleet/job_placer.h>
#include <fleet/job_queue.h>
#include <fleet/job_run.h>
#include <fleet/managed_worker.h>
#include <fleet/outstanding_runs.h>
#include <fleet/pause_monitor.h>
#include <fleet/ports.h>
#include <fleet/progress_check.h>
#include <fleet/request_log.h>
#include <fleet/run_time_model.h>
#include <fleet/shard_forecast.h>
#include <fleet/shard_plan.h>
#include <fleet/shard_workers.h>
#include <fleet/types.h>
#include <fleet/worker_avoidance.h>
#include <fleet/worker_session.h>
#include <functional>
#include <map>
#include <memory>
#include <metrics/registry.h>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace chivewharf::fleet {

/// Owns the workers of one shard while this host holds the claim on it: places the tasks of the
/// jobs that hosts send, retries them where that is allowed, and reports results.
class shard_owner final : public session_observer {
public:
    /// A job is stopped this long after the link to its requester was lost; until then, none of its
    /// tasks is started. A requester that is still alive restores the link and sends the job again
    /// sooner; if it has died, the caller submits the job again later.
    static constexpr duration orphan_grace = milliseconds{300};

    struct callbacks {
        /// The result of a job, for the host that sent it.
        std::function<void(const std::string& host, const wire::job_result& result, time_point now)>
            result;
        /// A worker refused this owner's token.
        std::function<void(time_point now)> fenced;
        /// This owner is leaving, and no task runs on the worker any more.
        std::function<void(const std::string& worker)> released;
    };

    shard_owner(wire::shard shard, worker_port& port, metrics::registry& metrics, request_log& log,
                callbacks cb);
    ~shard_owner() override = default;
    shard_owner(const shard_owner&) = delete;
    shard_owner& operator=(const shard_owner&) = delete;

    /// Acquires the workers under the fencing token. Called again with a higher token after
    /// `fenced`.
    /// \param wait_for_release true if a leaving predecessor still holds the workers: each is
    ///        acquired only once the predecessor has released it or is gone
    void acquire_workers(std::uint64_t token, bool wait_for_release, time_point now);

    /// The leaving predecessor has released the worker.
    void worker_released(const std::string& worker, time_point now)
    {
        workers_.released_by_predecessor(worker, now);
    }

    /// The predecessor is gone: acquires the workers that it has not released.
    void predecessor_gone(time_point now) { workers_.predecessor_gone(now); }

    /// Replaces the list of workers; those of other shards are ignored.
    /// \param revision of this list; higher than every earlier one of the process
    /// \return true if the set of workers in use has changed
    bool update_workers(const std::vector<worker_entry>& workers, std::uint64_t revision,
                        time_point now);

    /// True if a worker that is no longer listed has become idle: the next update removes it.
    bool has_worker_to_remove() const { return workers_.any_to_remove(); }

    /// The workers on which tasks may be running; their revision is that of their last change.
    const shared_worker_list& workers_in_use() const noexcept { return workers_.in_use(); }

    /// Accepts or refuses a job. Another attempt of a job that is already here only updates its
    /// requester, attempt and deadline.
    /// \param remote true if the requester is a host of another failure domain: the job then waits
    ///        with the next lower priority, so that a domain's own urgent jobs go first
    void submit(wire::job_order order, const std::string& requester, time_point now,
                bool remote = false);

    /// Stops a job whose caller has cancelled it, and reports no result.
    /// \return the host that waits for the job's result; none if the job is not known
    std::optional<std::string> cancel(const std::string& job, time_point now);

    /// The host has given the job up: stops it and reports no result, unless another host waits for
    /// it now.
    void withdraw(const std::string& job, const std::string& requester, time_point now);

    /// The link to a host is lost: jobs that it sent are stopped unless it sends them again soon.
    void requester_lost(const std::string& host, time_point now);

    /// Adds the hosts that wait for results to `hosts`.
    void collect_requesters(std::set<std::string>& hosts) const;

    /// Begins the hand-over: starts no new tasks and releases each worker once no task runs on it.
    void leave(time_point now);

    /// Leaves and stops all tasks. Jobs end as `interrupted` once none of their tasks is active.
    /// \return the number of tasks whose stop was ordered now
    std::size_t interrupt(time_point now);

    /// Sets the part of the workers' capacity that may be in use. 0 drains the shard: nothing is
    /// started, jobs that have not started are given back, and started jobs that need further
    /// starts end as `interrupted` once none of their tasks is active. Tasks that are active are
    /// left to finish, and leases are kept.
    void set_usable_share(double share, time_point now);

    bool leaving() const noexcept { return leaving_; }
    /// True once every worker has been released.
    bool released() const { return leaving_ && workers_.all_released(); }

    /// Ends the ownership at once. Jobs that have been started end as `abandoned`, others as
    /// `not_owner`.
    void abandon(time_point now);

    void tick(time_point now);

    /// True if no task that a predecessor started can still run on the workers in use. A
    /// predecessor may have used others.
    bool takeover_complete() const { return !suspended_ && workers_.takeover_complete(); }

    /// Free processor time of the usable workers, in thousandths of a core.
    std::uint64_t free_milli() const { return forecast_.usable().free_milli(); }
    /// Estimated time in which the usable workers can run all waiting tasks; 10 s if none is
    /// usable.
    duration backlog() const { return forecast_.backlog(); }
    /// What the shard can still take, for the report to other hosts; none if it is not known.
    std::optional<wire::shard_room> room(time_point now) const { return forecast_.room(now); }
    std::size_t jobs() const noexcept { return jobs_.size(); }
    std::size_t workers() const noexcept { return workers_.all().size(); }
    std::size_t usable_workers() const { return forecast_.usable().workers(); }

    // session_observer
    void task_ended(worker_session& worker, const tracked_task& task, task_end end,
                    const std::string& saved, time_point now) override;
    void start_rejected(worker_session& worker, const tracked_task& task, order_outcome reason,
                        time_point now) override;
    void fenced(worker_session& worker, time_point now) override;
    void availability_changed(time_point now) override;

private:
    bool satisfiable(const wire::job_order& order) const;
    /// Another attempt of a job that is here has been sent.
    void submit_again(job_run& job, const wire::job_order& order, const std::string& requester,
                      time_point now);
    /// Why the owner accepts no such job now, whatever its load; none if it may.
    std::optional<wire::job_end> reason_to_refuse(const wire::job_order& order) const;
    void refuse(const wire::job_order& order, const std::string& requester, wire::job_end reason,
                time_point now);
    void enqueue(job_run& job);
    queued_job queue_entry(const job_run& job) const;
    void note_demand(const job_run& job, time_point now);
    /// True if the job may wait; otherwise it has been refused.
    bool admit(const job_run& job, time_point now);
    void refuse_overloaded(const job_run& job, std::string_view reason, duration wait,
                           time_point now);
    /// Ends a job that has not started.
    void refuse_waiting(const std::string& job, std::string_view reason, duration wait,
                        time_point now);
    /// Refuses waiting jobs that can no longer start in time.
    void check_waiting(time_point now);
    void schedule(time_point now);
    /// Starts waiting jobs of the priority as far as resources permit.
    /// \param reserved_share_only ends once these jobs have had their reserved share
    void start_waiting(std::uint32_t priority, bool reserved_share_only, time_point now);
    void order_start(job_run& job, task_position position, managed_worker& worker, time_point now);
    /// A run has succeeded.
    void task_done(job_run& job, task_position position, duration run_time, time_point now);
    /// A run has ended otherwise: the task waits for another one, or its job has failed.
    void task_not_done(job_run& job, task_position position, task_end end, time_point now);
    void finish(const std::string& job, wire::job_end why, time_point now);
    /// The end that the requester is told. After one that lets it send the job to another owner at
    /// once, a run of the job must not be on a worker any more, not even one of an earlier
    /// submission. Otherwise the job is `abandoned`, and the requester waits.
    wire::job_end end_to_report(const std::string& job, wire::job_end end) const;
    void end_all_jobs(time_point now);
    /// Removes the job from all tables and stops its tasks; null if the job is not known.
    std::unique_ptr<job_run> remove_job(const std::string& job, time_point now);
    /// The job that the run belongs to; null if the job has ended or the run is not the current one
    /// of its task.
    job_run* find_job_of_current_run(const tracked_task& tracked);
    /// Stops the tasks of the step that are active.
    void stop_step(const job_run& job, std::size_t step, time_point now);
    /// Stops the members of a gang that are active: they would wait in vain for one that has ended.
    void stop_gang(const job_run& job, std::size_t step, time_point now);
    bool has_stalled(const tracked_task& tracked) const;
    /// Stops the tasks that have stalled on the worker, and avoids it.
    void check_progress(managed_worker& worker, time_point now);
    void check_deadlines(time_point now);
    void release_idle_workers(time_point now);
    /// Ends the jobs that have not started; their requesters send them to other owners.
    void give_back_unstarted(wire::job_end end, time_point now);
    /// Ends the jobs of which no run can be on a worker any more as `interrupted`.
    void end_idle_jobs(time_point now);
    void count_end(wire::job_end end);

    wire::shard shard_;
    metrics::registry& metrics_;
    request_log& log_;
    callbacks callbacks_;
    run_time_model model_;
    outstanding_runs runs_;
    shard_workers workers_;
    worker_avoidance avoidance_;
    job_map jobs_;
    job_queue queue_;
    demand_profile profile_;
    shard_forecast forecast_;
    job_placer placer_;
    time_point next_progress_check_{};
    time_point next_waiting_check_{};
    pause_monitor pause_;
    bool suspended_ = false; ///< a worker refused the token, and no higher one is in use yet
    bool leaving_ = false;
    bool scheduling_ = false;
};

} // namespace chivewharf::fleet
