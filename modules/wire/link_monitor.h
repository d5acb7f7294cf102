#pragma once

#include <array>
#include <base/enum_names.h>
#include <base/time.h>
#include <cstdint>
#include <string_view>

namespace chivewharf::wire {

/// A ping is sent when nothing was sent for this long.
inline constexpr duration ping_after = milliseconds{500};

/// A link on which nothing was received for this long is dead: three pings are missing.
inline constexpr duration dead_after = milliseconds{1500};

/// What to do with a link.
enum class link_action : std::uint8_t { none, send_ping, close };

/// Keepalive decisions of one link.
class link_monitor {
public:
    explicit link_monitor(time_point now) noexcept : sent_(now), received_(now) {}

    /// Records that a frame was handed to the socket.
    void on_sent(time_point now) noexcept { sent_ = now; }

    /// Records that bytes arrived.
    void on_received(time_point now) noexcept { received_ = now; }

    /// What to do now. After `send_ping` call `on_sent`; after `close` replace the link.
    link_action check(time_point now) const noexcept;

    /// When to call `check` next.
    time_point next_check() const noexcept;

private:
    time_point sent_;
    time_point received_;
};

} // namespace chivewharf::wire

namespace chivewharf {

template <>
struct enum_names<wire::link_action> {
    static constexpr std::array<std::string_view, 3> names{"none", "send_ping", "close"};
};

} // namespace chivewharf
