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
    const auto first = std::clamp(wait, min_retry_delay, max_retry_delay / 2);
    // All intervals end below the maximum. Clamping the result would bring the callers with the
    // longest waits back at the same moment.
    const auto length = std::min(first, (max_retry_delay - first) / (last_interval + 1));
    return first + length * interval + from_seconds(to_seconds(length) * position_of(job));
}

} // namespace chivewharf::fleet
