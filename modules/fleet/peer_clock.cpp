#include <fleet/peer_clock.h>

namespace chivewharf::fleet {

void peer_clock::observe(std::int64_t reading_ms, time_point received) noexcept
{
    const auto known = at_least(received);
    if (known && reading_ms < *known)
        return;
    reading_ms_ = reading_ms;
    received_ = received;
}

std::optional<std::int64_t> peer_clock::at_least(time_point now) const noexcept
{
    if (!reading_ms_)
        return std::nullopt;
    const auto elapsed_ms = static_cast<double>(to_ms(now - received_));
    return *reading_ms_ + static_cast<std::int64_t>(elapsed_ms * (1 - max_drift));
}

} // namespace chivewharf::fleet
