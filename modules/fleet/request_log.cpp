#include <fleet/request_log.h>

#include <functional>

namespace chivewharf::fleet {

namespace {

constexpr std::uint32_t max_sampling_shift = 10;

} // namespace

void request_log::start_second(time_point now)
{
    if (lines_this_second_ > lines_per_second && sampling_shift_ < max_sampling_shift)
        ++sampling_shift_;
    else if (lines_this_second_ < lines_per_second / 4 && sampling_shift_ > 0)
        --sampling_shift_;
    lines_this_second_ = 0;
    second_start_ = now;
}

bool request_log::should_log(std::string_view job, time_point now)
{
    if (now - second_start_ >= seconds{1})
        start_second(now);
    const auto mask = (std::uint64_t{1} << sampling_shift_) - 1;
    const bool sampled = (std::hash<std::string_view>{}(job)&mask) == 0;
    // The hard limit bounds the second in which a burst begins, before the sampling adapts.
    if (!sampled || lines_this_second_ >= 2 * lines_per_second) {
        ++dropped_;
        return false;
    }
    ++lines_this_second_;
    return true;
}

} // namespace chivewharf::fleet
