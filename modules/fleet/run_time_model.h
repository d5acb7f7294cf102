#pragma once

#include <base/time.h>
#include <map>
#include <string>

namespace chivewharf::fleet {

/// Learns the relative speed of workers and the error of the callers' estimates from completed
/// tasks. Both are ratios, kept as exponential moving averages on a logarithmic scale.
class run_time_model {
public:
    /// Expected run time of a task.
    /// \param estimate the caller's estimate
    duration expected(const std::string& queue, duration estimate, const std::string& worker) const;

    /// Expected run time on a worker of speed 1.
    duration nominal(const std::string& queue, duration estimate) const;

    /// Expected run time of a job's longest task, on a worker of speed 1. Run times vary, so that
    /// the longest of several tasks runs longer than their mean.
    duration longest(const std::string& queue, duration estimate) const;

    /// Records the run time of the longest task of a completed job.
    void observe_longest(const std::string& queue, duration estimate, duration elapsed);

    /// Records the run time of a completed task.
    void observe(const std::string& queue, duration estimate, const std::string& worker,
                 duration elapsed);

    /// Relative speed of a worker; 1 is the speed of an unknown one.
    double speed(const std::string& worker) const;

    /// Discards what was learned about a worker.
    void forget(const std::string& worker) { log_speed_.erase(worker); }

private:
    double queue_ratio(const std::string& queue) const;

    std::map<std::string, double> log_speed_;   ///< by worker
    std::map<std::string, double> log_ratio_;   ///< actual over estimated run time, by queue
    std::map<std::string, double> log_longest_; ///< longest over mean run time, by queue
};

} // namespace chivewharf::fleet
