#include <wire/link_monitor.h>

#include <algorithm>

namespace chivewharf::wire {

link_action link_monitor::check(time_point now) const noexcept
{
    if (now - received_ >= dead_after)
        return link_action::close;
    if (now - sent_ >= ping_after)
        return link_action::send_ping;
    return link_action::none;
}

time_point link_monitor::next_check() const noexcept
{
    return std::min(sent_ + ping_after, received_ + dead_after);
}

} // namespace chivewharf::wire
