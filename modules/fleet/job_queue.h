#pragma once

#include <base/time.h>
#include <cstddef>
#include <cstdint>
#include <fleet/decaying_sum.h>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chivewharf::fleet {

/// A job that waits for resources.
struct queued_job {
    std::uint32_t priority = 0;    ///< 0 is the highest priority
    bool started = false;          ///< some of its tasks have been started
    std::int64_t demand_milli = 0; ///< of its waiting tasks, thousandths of a core
    time_point latest_start{};     ///< latest start with which it can meet its objective
    std::string job;

    bool operator<(const queued_job& other) const
    {
        return std::tuple{!started, latest_start, std::string_view{job}} <
               std::tuple{!other.started, other.latest_start, std::string_view{other.job}};
    }
};

/// The waiting jobs of a shard in the order in which they get resources.
///
/// For a load that exceeds the shard's resources for some seconds: by latest start alone, all
/// jobs would start late, whatever their priority. The higher priority goes first; within one, jobs
/// that have started tasks go before others, so that the resources that they hold are not wasted.
/// Less urgent jobs do not starve: while they wait, they get at least `reserved_share` of the work
/// that is started.
class job_queue {
public:
    /// Part of the started work that goes to jobs below a priority while such jobs wait. Less
    /// urgent jobs may need several times the processor time of urgent ones; with a small share, a
    /// short peak turns most of them away.
    static constexpr double reserved_share = 0.25;
    /// Age at which started work counts for little in the shares.
    static constexpr duration share_window = seconds{2};

    using job_set = std::set<queued_job>;

    /// Adds a job, or moves it to its new place.
    void put(queued_job job);
    void erase(const std::string& job);
    bool contains(const std::string& job) const { return places_.contains(job); }
    bool empty() const noexcept { return places_.empty(); }
    std::size_t size() const noexcept { return places_.size(); }

    /// The priorities of the waiting jobs, the most urgent first.
    std::vector<std::uint32_t> priorities() const;

    /// The waiting jobs of a priority in their order. For one of `priorities()`, the reference
    /// stays valid.
    const job_set& jobs(std::uint32_t priority) const;

    /// Demand of the waiting tasks of all jobs with this priority or a higher one.
    std::int64_t demand_milli(std::uint32_t priority) const;

    /// Tasks of a job were started.
    /// \param work demand times expected run time, in any unit
    void work_started(std::uint32_t priority, double work, time_point now);

    /// True if the waiting jobs with this priority or a lower one have had less than their reserved
    /// share.
    bool below_reserved_share(std::uint32_t priority, time_point now) const;

private:
    struct priority_class {
        job_set jobs;
        std::int64_t demand_milli = 0;
    };

    std::map<std::uint32_t, priority_class> classes_; ///< by priority; may be empty
    std::unordered_map<std::string, std::pair<std::uint32_t, job_set::iterator>>
        places_;                                    ///< priority and place by job
    std::map<std::uint32_t, decaying_sum> started_; ///< started work by priority
};

} // namespace chivewharf::fleet
