#pragma once

#include <base/time.h>
#include <fleet/peer_clock.h>
#include <fleet/report_schedule.h>
#include <optional>
#include <wire/messages.h>

namespace chivewharf::fleet {

/// An order that may be older than this when it arrives is refused: the network may have held it
/// back until its sender has taken the owner for dead and sent the job elsewhere. A link that is
/// silent for longer is closed anyway.
inline constexpr duration max_order_age = short_silence_limit;

/// States in the order that it is sent now, by the receiver's clock. Nothing is stated if no
/// reading of that clock is known.
void stamp(wire::job_order& order, const peer_clock& receiver, time_point now);

/// Maximum time since the order was sent, by the clock of this host, its receiver; none if its
/// sender has not stated when that was.
std::optional<duration> order_age(const wire::job_order& order, time_point now);

/// Takes the time for which the order was on its way from the time that its job has left.
void count_transit(wire::job_order& order, duration age);

} // namespace chivewharf::fleet
