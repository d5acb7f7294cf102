#pragma once

#include <base/time.h>

namespace chivewharf::sched {

/// What an order between the jobs of one customer may depend on.
struct job_facts {
    duration remaining{}; ///< estimated run time of the queued tasks together
    time_point arrived{}; ///< when the job was admitted
};

/// Order of the jobs of one customer. The key depends on the job only, never on the current time,
/// so that it can be kept in a sorted index.
class job_order {
public:
    job_order() = default;
    job_order(const job_order&) = delete;
    job_order& operator=(const job_order&) = delete;
    virtual ~job_order() = default;

    /// Sort key; the smallest goes first, and equal keys go in order of arrival.
    virtual double key(const job_facts& job) const = 0;
};

/// Shortest remaining work first, with ageing: each second of waiting counts as `ageing`
/// slot-seconds less work. Every waiting job ages at the same rate, so the order of two jobs does
/// not change with time and the key can use the time of arrival instead of the time waited.
class shortest_remaining_work final : public job_order {
public:
    /// With 4 a job of 210 tasks of 0.25 s goes before a new one-task job after 13 s.
    static constexpr double default_ageing = 4.0;

    explicit shortest_remaining_work(double ageing = default_ageing) : ageing_{ageing} {}
    double key(const job_facts& job) const override;

private:
    double ageing_;
};

/// First come, first served: the baseline that `shortest_remaining_work` is measured against.
class first_come final : public job_order {
public:
    double key(const job_facts& job) const override;
};

} // namespace chivewharf::sched
