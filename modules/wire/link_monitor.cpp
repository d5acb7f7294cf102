#include <wire/link_monitor.h>

#include <algorithm>

namespace chivewharf::wire {

link_action link_monitor::check(time_point now) const noexcept
{
    if (now - last_received_ >= receive_timeout)
        return link_action::close;
    if (now - last_sent_ >= ping_interval)
        return link_action::send_ping;
    return link_action::none;
}

time_point link_monitor::next_check() const noexcept
{
    return std::min(last_sent_ + ping_interval, last_received_ + receive_timeout);
}

} // namespace chivewharf::wire
