#pragma once

#include <base/time.h>

namespace chivewharf::sched {

/// Attributes of a job that a `job_order` may use.
struct job_attributes {
    duration remaining{}; ///< total estimated run time of the queued tasks
    time_point arrived{}; ///< when the job was admitted
};

/// Order of the jobs of one customer. The key must depend only on the job, not on the current time,
/// so that jobs can be kept in a sorted index.
class job_order {
public:
    job_order() = default;
    job_order(const job_order&) = delete;
    job_order& operator=(const job_order&) = delete;
    virtual ~job_order() = default;

    /// Sort key. The job with the smallest key goes first; jobs with equal keys go in order of
    /// arrival.
    virtual double key(const job_attributes& job) const = 0;
};

/// Shortest remaining work first, with ageing: each second of waiting reduces the work that counts
/// by `ageing` slot-seconds. All jobs age at the same rate, so the order of two jobs does not
/// change over time, and the key can use the arrival time instead of the time waited.
class shortest_remaining_work final : public job_order {
public:
    /// Slot-seconds per second. With 4, a job of 210 tasks of 0.25 s has precedence over a new
    /// one-task job after 13 s.
    static constexpr double default_ageing = 4.0;

    explicit shortest_remaining_work(double ageing = default_ageing) : ageing_{ageing} {}
    double key(const job_attributes& job) const override;

private:
    double ageing_;
};

/// First come, first served: the baseline for measurements of `shortest_remaining_work`.
class first_come final : public job_order {
public:
    double key(const job_attributes& job) const override;
};

} // namespace chivewharf::sched
