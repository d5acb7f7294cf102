#include <fleet/request_log.h>

#include <functional>

namespace chivewharf::fleet {

namespace {

constexpr std::uint32_t greatest_shift = 10;

} // namespace

void request_log::new_second(time_point now)
{
    if (lines_ > lines_per_second && shift_ < greatest_shift)
        ++shift_;
    else if (lines_ < lines_per_second / 4 && shift_ > 0)
        --shift_;
    lines_ = 0;
    second_began_ = now;
}

bool request_log::wanted(std::string_view job, time_point now)
{
    if (now - second_began_ >= seconds{1})
        new_second(now);
    const auto mask = (std::uint64_t{1} << shift_) - 1;
    const bool sampled = (std::hash<std::string_view>{}(job)&mask) == 0;
    // The hard limit holds within the second in which a burst begins.
    if (!sampled || lines_ >= 2 * lines_per_second) {
        ++dropped_;
        return false;
    }
    ++lines_;
    return true;
}

} // namespace chivewharf::fleet
