#pragma once

#include <base/time.h>
#include <cstdint>
#include <fleet/admission_forecast.h>
#include <fleet/demand_profile.h>
#include <fleet/job_placer.h>
#include <fleet/job_queue.h>
#include <fleet/job_run.h>
#include <fleet/managed_worker.h>
#include <fleet/run_time_model.h>
#include <fleet/types.h>
#include <fleet/usable_capacity.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>
#include <wire/messages.h>

namespace chivewharf::fleet {

/// What the workers of a shard can take, when its jobs are expected to start, and which jobs cannot
/// start in time.
///
/// For a load that exceeds the shard's resources: a job that would start too late is refused on
/// arrival, or as soon as that is known.
class shard_forecast {
public:
    /// State of the shard owner that the forecast depends on. The referenced objects must outlive
    /// it.
    struct context {
        const worker_map& workers;
        const job_map& jobs;
        const job_queue& queue;
        const demand_profile& profile;
        const run_time_model& model;
    };

    /// Why a job cannot start in time.
    struct overload {
        std::string_view reason; ///< name of the rule that decided, for logs and metrics
        duration wait{};         ///< expected
    };

    /// A waiting job that cannot start in time any more.
    struct late_job {
        std::string job;
        duration wait{}; ///< expected from now on
    };

    /// Told with refusals for which no forecast is made.
    static constexpr std::uint32_t default_retry_after_ms = 500;

    explicit shard_forecast(context shard) : shard_{shard} {}

    /// Sets the part of the workers' capacity that may be in use; 0: nothing may start.
    void set_usable_share(double share) noexcept { usable_share_ = share; }
    double usable_share() const noexcept { return usable_share_; }
    bool drained() const noexcept { return usable_share_ <= 0; }

    /// Records the priority with which a job was sent.
    /// \return true if jobs wait in another order from now on
    bool note_priority(std::uint32_t priority);
    /// True if the shard's jobs have different priorities. Otherwise they wait in the order of
    /// their latest start.
    bool by_priority() const noexcept { return several_priorities_; }

    usable_capacity usable() const;
    /// True if tasks may take this much more processor time. While the share is limited, one task
    /// or gang is always admitted if none runs, so that those larger than the share can start.
    bool share_admits(std::int64_t cpu_milli) const;
    /// Estimated time in which the usable workers can run all waiting tasks; 10 s if none is
    /// usable.
    duration backlog() const;
    /// What the shard can still take, for the report to other hosts; none if it is not known.
    std::optional<wire::shard_room> room(time_point now) const;

    /// Time by which the job should complete: its arrival, the expected run time of its critical
    /// path times `stretch`, and the target of its queue.
    time_point objective(const job_run& job) const;
    /// Latest start at which the job is expected to meet its objective and its deadline.
    time_point latest_start(const job_run& job) const;

    /// Why the job, which is not in the queue, must not wait; none if it may.
    std::optional<overload> overload_for(const job_run& job, time_point now) const;
    /// Waiting jobs that have not started and can no longer start in time.
    std::vector<late_job> late_jobs(time_point now) const;
    /// Time after which the caller of a refused job may send it again.
    std::uint32_t retry_after_ms(const job_run& job, time_point now) const;

private:
    /// Part of the backlog that is due to jobs whose latest start is not after the given one.
    duration backlog_before(time_point latest_start) const;
    /// The shard as seen by a job of the priority.
    /// \param ahead_milli demand of the waiting tasks that go before it
    forecast_input load_for(std::uint32_t priority, const resources& demand, double ahead_milli,
                            time_point now) const;
    /// Time until the last task of a job that is not in the queue would start; none if too little
    /// is known.
    std::optional<duration> expected_wait(const job_run& job, time_point now) const;
    /// True if workers have room for the job now: for all of its tasks, or for one of them if no
    /// job goes first.
    bool startable(const job_run& job) const;
    /// Wait after which the job cannot meet its objective any more; none if it can start in time.
    std::optional<duration> excessive_wait(const job_run& job, time_point now) const;

    context shard_;
    double usable_share_ = 1;
    std::optional<std::uint32_t> last_priority_; ///< of the last job, as sent
    bool several_priorities_ = false;            ///< jobs were sent with different ones
};

} // namespace chivewharf::fleet
