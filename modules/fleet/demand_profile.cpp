#include <fleet/demand_profile.h>

#include <algorithm>

namespace chivewharf::fleet {

namespace {

/// Below this sum, observations are too old or too few to derive a mean from.
constexpr double min_released_milli = 1;

} // namespace

void demand_profile::task_demand(std::uint32_t priority, std::int64_t cpu_milli, std::size_t tasks,
                                 time_point now)
{
    if (tasks == 0)
        return;
    const auto key = std::min(priority, max_priorities - 1);
    const auto demand = static_cast<double>(cpu_milli) * static_cast<double>(tasks);
    admitted_.try_emplace(key, time_constant);
    task_count_.add(static_cast<double>(tasks), now);
    task_demand_.add(demand, now);
    // Derived here, because both sums vanish in a long time without arrivals.
    typical_demand_ = static_cast<std::int64_t>(task_demand_.value(now) / task_count_.value(now));
}

void demand_profile::job_admitted(std::uint32_t priority, std::int64_t cpu_milli, time_point now)
{
    const auto key = std::min(priority, max_priorities - 1);
    admitted_.try_emplace(key, time_constant)
        .first->second.add(static_cast<double>(cpu_milli), now);
}

void demand_profile::task_ended(std::int64_t cpu_milli, duration elapsed, time_point now)
{
    const auto demand = static_cast<double>(cpu_milli);
    released_.add(demand, now);
    released_work_.add(demand * to_seconds(elapsed) * 1000, now);
}

std::optional<duration> demand_profile::mean_run_time(time_point now) const
{
    const auto released = released_.value(now);
    if (released < min_released_milli)
        return std::nullopt;
    return from_seconds(released_work_.value(now) / released / 1000);
}

double demand_profile::more_urgent_rate(std::uint32_t priority, time_point now) const
{
    double rate = 0;
    for (const auto& [key, demand] : admitted_) {
        if (key < priority)
            rate += demand.rate_per_ms(now);
    }
    return rate;
}

std::vector<std::uint32_t> demand_profile::priorities() const
{
    std::vector<std::uint32_t> all;
    for (const auto& [key, demand] : admitted_)
        all.push_back(key);
    return all;
}

} // namespace chivewharf::fleet
