#pragma once

#include <base/time.h>
#include <cstdint>
#include <optional>

namespace chivewharf::fleet {

/// Estimate of a worker's steady clock, which counts milliseconds from an unknown origin and may
/// run slow.
class worker_clock {
public:
    /// Minimum rate of a worker's clock relative to true time.
    static constexpr double min_rate = 0.98;

    /// Records a reading that arrived at `received`. Readings that arrive out of order are ignored.
    void observe(std::int64_t clock_ms, time_point received) noexcept;

    /// Discards all readings, because the worker has a new incarnation.
    void reset() noexcept { reading_ms_.reset(); }

    bool known() const noexcept { return reading_ms_.has_value(); }

    /// Best estimate of the clock. Call it only when `known`.
    std::int64_t estimate(time_point now) const noexcept;

    /// Earliest local time at which the clock has reached the value even at its minimum rate. Call
    /// it only when `known`.
    time_point certainly_past(std::int64_t clock_ms) const noexcept;

private:
    std::optional<std::int64_t> reading_ms_;
    time_point received_{};
};

} // namespace chivewharf::fleet
