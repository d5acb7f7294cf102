#pragma once

#include <base/log_line.h>
#include <base/time.h>
#include <cstdint>
#include <string_view>

namespace chivewharf::fleet {

/// Bounds the number of log lines about requests. Requests are sampled by their id, so that the
/// lines of one request are kept together, and on every host alike.
class request_log {
public:
    /// Above this rate, a smaller share of the requests is logged.
    static constexpr std::uint32_t lines_per_second = 400;

    /// True if a line about the request should be written now. Counts the line.
    bool should_log(std::string_view job, time_point now);

    /// Number of lines left out since the start.
    std::uint64_t dropped() const noexcept { return dropped_; }

private:
    void start_second(time_point now);

    time_point second_start_{};
    std::uint32_t lines_this_second_ = 0;
    std::uint32_t sampling_shift_ = 0; ///< one request in 2^sampling_shift_ is logged
    std::uint64_t dropped_ = 0;
};

} // namespace chivewharf::fleet
