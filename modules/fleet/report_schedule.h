#pragma once

#include <base/time.h>
#include <optional>

namespace chivewharf::fleet {

/// What decides how often a host reports to another one.
struct report_relation {
    bool same_domain = false;
    bool sender_owns = false; ///< the sender owns a shard
    bool jobs = false;        ///< one of the two has jobs at the other
};

/// Interval of the reports of two hosts that have jobs at each other, and of an owner to the hosts
/// of its domain, which route their jobs by it.
inline constexpr duration short_report_interval = milliseconds{100};
/// Interval of the other reports within a domain, and of an owner to other domains.
inline constexpr duration long_report_interval = seconds{1};
/// A sender at the short interval counts as dead after this time of silence.
inline constexpr duration short_silence_limit = milliseconds{500};
/// A sender at the long interval counts as dead after this time of silence.
inline constexpr duration long_silence_limit = milliseconds{2500};

/// Interval of the sender's reports. None: it only reports changes of its claims, since the number
/// of such pairs grows with the square of the number of hosts.
std::optional<duration> report_interval(const report_relation& relation);

/// Time of silence after which the receiver takes the sender for dead; none if it sends no regular
/// reports.
std::optional<duration> silence_limit(const report_relation& relation);

} // namespace chivewharf::fleet
