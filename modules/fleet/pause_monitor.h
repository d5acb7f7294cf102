#pragma once

#include <base/time.h>
#include <optional>

namespace chivewharf::fleet {

/// Notices that this process was paused, from the time between its ticks. After a pause, all input
/// is older than what the process knows: callers may have left and called another host, and other
/// hosts may have given this one up. Until the next tick has read what tells of that, nothing may
/// be started or sent.
class pause_monitor {
public:
    /// A shorter pause does no harm: a caller waits for longer before it calls another host, and a
    /// host for longer before it gives another one up.
    static constexpr duration max_pause = milliseconds{400};

    /// True if the process was paused since its last tick.
    bool paused(time_point now) const noexcept
    {
        return last_tick_ != time_point{} && now - last_tick_ > max_pause;
    }

    /// Begins a tick.
    /// \return time since the last one if the process was paused meanwhile
    std::optional<duration> tick(time_point now) noexcept
    {
        const bool was_paused = paused(now);
        const auto since = now - last_tick_;
        last_tick_ = now;
        return was_paused ? std::optional{since} : std::nullopt;
    }

    /// No further ticks are expected.
    void stop() noexcept { last_tick_ = {}; }

private:
    time_point last_tick_{}; ///< zero before the first tick
};

} // namespace chivewharf::fleet
