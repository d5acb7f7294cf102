#pragma once

#include <array>
#include <base/enum_names.h>
#include <base/time.h>
#include <cstdint>
#include <string_view>

namespace chivewharf::wire {

/// A ping is sent after this much time without any outgoing frame.
inline constexpr duration ping_interval = milliseconds{500};

/// A link is closed after this much time without any incoming bytes, that is, after three missed
/// pings.
inline constexpr duration receive_timeout = milliseconds{1500};

/// Action that the keepalive of a link requires.
enum class link_action : std::uint8_t { none, send_ping, close };

/// Keepalive timing of one link.
class link_monitor {
public:
    explicit link_monitor(time_point now) noexcept : last_sent_(now), last_received_(now) {}

    /// Records that a frame was written to the socket.
    void on_sent(time_point now) noexcept { last_sent_ = now; }

    /// Records that bytes were received.
    void on_received(time_point now) noexcept { last_received_ = now; }

    /// Returns the action that is due. After `send_ping` the caller sends a ping and calls
    /// `on_sent`; after `close` it closes the link and opens a new one.
    link_action check(time_point now) const noexcept;

    /// Time at which to call `check` next.
    time_point next_check() const noexcept;

private:
    time_point last_sent_;
    time_point last_received_;
};

} // namespace chivewharf::wire

namespace chivewharf {

template <>
struct enum_names<wire::link_action> {
    static constexpr std::array<std::string_view, 3> names{"none", "send_ping", "close"};
};

} // namespace chivewharf
