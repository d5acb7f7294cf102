#include <fleet/admission_forecast.h>

#include <algorithm>

namespace chivewharf::fleet {

namespace {

/// Longest wait that is predicted; the rates do not hold for longer.
constexpr duration max_forecast = seconds{10};
constexpr duration min_retry_delay = milliseconds{100};
constexpr duration max_retry_delay = seconds{5};

/// Number in [0, 1) that depends on the id only (FNV-1a).
double position_of(std::string_view job)
{
    std::uint32_t hash = 2166136261U;
    for (const char c : job) {
        hash ^= static_cast<std::uint8_t>(c);
        hash *= 16777619U;
    }
    return static_cast<double>(hash) / 4294967296.0;
}

} // namespace

std::optional<duration> forecast_wait(const shard_load& load, double demand_milli,
                                      double reserved_share)
{
    const auto missing = load.ahead_milli + demand_milli - load.usable_milli;
    if (missing <= 0)
        return duration{0};
    if (!load.mean_run_time || *load.mean_run_time <= duration{0} || load.used_milli <= 0)
        return std::nullopt;
    const auto released_per_ms = load.used_milli / (to_seconds(*load.mean_run_time) * 1000);
    const auto left_per_ms =
        std::max(released_per_ms - load.more_urgent_rate, reserved_share * released_per_ms);
    return std::min(from_seconds(missing / left_per_ms / 1000), max_forecast);
}

duration retry_delay(duration wait, std::uint32_t priority, std::string_view job)
{
    const auto base = std::clamp(wait, min_retry_delay, max_retry_delay);
    const auto interval = to_seconds(base) * (1.0 + std::min<std::uint32_t>(priority, 4));
    return std::clamp(base + from_seconds(interval * position_of(job)), min_retry_delay,
                      max_retry_delay);
}

} // namespace chivewharf::fleet
