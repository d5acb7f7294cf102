#pragma once

#include <base/time.h>
#include <cstdint>
#include <fleet/decaying_sum.h>
#include <map>
#include <optional>
#include <vector>

namespace chivewharf::fleet {

/// What the recent jobs of a shard ask for and how long their tasks occupy it, as moving averages.
///
/// For a load whose mix of jobs changes within seconds: free processor time alone tells neither
/// how many more tasks fit nor how soon others make room. All amounts are thousandths of a core.
class demand_profile {
public:
    /// Age after which an observation counts for little.
    static constexpr duration time_constant = seconds{1};
    /// Priorities that are told apart; less urgent ones count as the last of them.
    static constexpr std::uint32_t max_priorities = 8;

    /// Tasks of a job have arrived.
    void task_demand(std::uint32_t priority, std::int64_t cpu_milli, std::size_t tasks,
                     time_point now);

    /// A job was admitted.
    /// \param cpu_milli demand of all its tasks
    void job_admitted(std::uint32_t priority, std::int64_t cpu_milli, time_point now);

    /// A task has ended and has released its resources.
    void task_ended(std::int64_t cpu_milli, duration elapsed, time_point now);

    /// Mean demand of a task; 0 if no task has arrived yet.
    std::int64_t typical_demand() const noexcept { return typical_demand_; }

    /// Mean time for which a unit of processor time is occupied; none while too little was
    /// observed.
    std::optional<duration> mean_run_time(time_point now) const;

    /// Demand that is admitted for each millisecond with a priority that is more urgent.
    double more_urgent_rate(std::uint32_t priority, time_point now) const;

    /// The priorities that have been seen, the most urgent first.
    std::vector<std::uint32_t> priorities() const;

private:
    std::map<std::uint32_t, decaying_sum> admitted_; ///< demand by priority; 0 if all was refused
    decaying_sum task_count_{time_constant};
    decaying_sum task_demand_{time_constant};
    std::int64_t typical_demand_ = 0;
    decaying_sum released_{time_constant};
    decaying_sum released_work_{time_constant}; ///< released demand times its run time in ms
};

} // namespace chivewharf::fleet
