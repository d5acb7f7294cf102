#include <fleet/admission_forecast.h>

#include <algorithm>

namespace chivewharf::fleet {

namespace {

/// Longest wait that is predicted; the rates do not hold for longer.
constexpr duration max_forecast = seconds{10};

} // namespace

std::optional<duration> forecast_wait(const forecast_input& load, double demand_milli,
                                      double reserved_share)
{
    const auto missing = load.ahead_milli + demand_milli - load.usable_milli;
    if (missing <= 0)
        return duration{0};
    const auto occupied_milli = load.used_milli + load.usable_milli;
    if (!load.mean_run_time || *load.mean_run_time <= duration{0} || occupied_milli <= 0)
        return std::nullopt;
    const auto released_per_ms = occupied_milli / (to_seconds(*load.mean_run_time) * 1000);
    const auto left_per_ms =
        std::max(released_per_ms - load.more_urgent_rate, reserved_share * released_per_ms);
    return from_seconds(std::min(missing / left_per_ms / 1000, to_seconds(max_forecast)));
}

} // namespace chivewharf::fleet
