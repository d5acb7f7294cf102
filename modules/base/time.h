#pragma once

#include <chrono>
#include <cstdint>

namespace chivewharf {

using duration = std::chrono::nanoseconds;

using std::chrono::milliseconds;
using std::chrono::seconds;

/// CLOCK_BOOTTIME as a std::chrono clock. Leases are measured with it because it keeps running
/// while the machine is suspended. Decision code does not call `now()` but takes the time as a
/// parameter.
struct boot_clock {
    using duration = chivewharf::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock, duration>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
};

using time_point = boot_clock::time_point;

/// Wall-clock time in milliseconds since the Unix epoch, for headers and records that leave the
/// process.
using wall_ms = std::int64_t;

/// Current wall-clock time. Decision code does not call it but takes the time as a parameter.
wall_ms wall_now_ms() noexcept;

/// Whole milliseconds of a duration, truncated towards zero.
constexpr std::int64_t to_ms(duration d) noexcept
{
    return std::chrono::duration_cast<milliseconds>(d).count();
}

/// Converts a duration to seconds.
constexpr double to_seconds(duration d) noexcept
{
    return std::chrono::duration<double>(d).count();
}

/// Converts seconds to a duration, truncated to whole nanoseconds.
constexpr duration from_seconds(double s) noexcept
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(s));
}

} // namespace chivewharf
