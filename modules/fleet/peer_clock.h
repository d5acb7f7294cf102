#pragma once

#include <base/time.h>
#include <cstdint>
#include <optional>

namespace chivewharf::fleet {

/// Lower bound of the clock of another host's process, `boot_clock`, from readings that its
/// messages carry. A reading was taken before its message arrived, however long that was on its
/// way, and the clock has gone on since.
class peer_clock {
public:
    /// Maximum difference between the rates of two hosts' clocks. Time synchronisation changes the
    /// rate of each by at most half of it.
    static constexpr double max_drift = 0.001;

    /// Records a reading that arrived at `received`. It is used if it gives a higher bound.
    void observe(std::int64_t reading_ms, time_point received) noexcept;

    /// Discards all readings: they are those of another process.
    void reset() noexcept { reading_ms_.reset(); }

    /// Reading in milliseconds that the clock has reached by `now`; none if no reading has arrived.
    std::optional<std::int64_t> at_least(time_point now) const noexcept;

private:
    std::optional<std::int64_t> reading_ms_;
    time_point received_{};
};

} // namespace chivewharf::fleet
