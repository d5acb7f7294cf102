#pragma once

#include <base/log_line.h>
#include <base/time.h>
#include <cstdint>
#include <string_view>

namespace chivewharf::fleet {

/// Keeps the volume of log lines about requests bounded. Requests are sampled by their id, so that
/// the lines of one request stay together, on every host alike.
class request_log {
public:
    /// Lines a second beyond which fewer requests are logged.
    static constexpr std::uint32_t lines_per_second = 400;

    /// True if lines about the request are written now. Counts the line.
    bool wanted(std::string_view job, time_point now);

    /// Lines that were left out since the start.
    std::uint64_t dropped() const noexcept { return dropped_; }

private:
    void new_second(time_point now);

    time_point second_began_{};
    std::uint32_t lines_ = 0;
    std::uint32_t shift_ = 0; ///< one request in 2^shift is logged
    std::uint64_t dropped_ = 0;
};

} // namespace chivewharf::fleet
