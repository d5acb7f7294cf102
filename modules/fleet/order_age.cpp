#include <fleet/order_age.h>

#include <algorithm>

namespace chivewharf::fleet {

void stamp(wire::job_order& order, const peer_clock& receiver, time_point now)
{
    order.sent_at_ms = receiver.at_least(now).value_or(0);
}

std::optional<duration> order_age(const wire::job_order& order, time_point now)
{
    if (order.sent_at_ms == 0)
        return std::nullopt;
    const duration age = now.time_since_epoch() - milliseconds{order.sent_at_ms};
    return std::max(age, duration{0});
}

void count_transit(wire::job_order& order, duration age)
{
    const auto age_ms = static_cast<std::uint32_t>(to_ms(age));
    order.age_ms += age_ms;
    order.remaining_ms -= std::min(order.remaining_ms, age_ms);
}

} // namespace chivewharf::fleet
