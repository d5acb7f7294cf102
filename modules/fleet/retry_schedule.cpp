#include <fleet/retry_schedule.h>

#include <algorithm>

namespace chivewharf::fleet {

namespace {

/// Higher priority numbers return in the interval of this one.
constexpr std::uint32_t last_interval = 4;

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

duration retry_delay(duration wait, std::uint32_t priority, std::string_view job)
{
    const auto interval = std::min(priority, last_interval);
    // The whole interval lies below the maximum. A clamped result would bring the callers with the
    // longest waits back at the same moment.
    const auto longest = max_retry_delay / (interval + 2);
    const auto length = std::clamp(wait, min_retry_delay, longest);
    return length * (interval + 1) + from_seconds(to_seconds(length) * position_of(job));
}

} // namespace chivewharf::fleet
