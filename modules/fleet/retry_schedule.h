#pragma once

#include <base/time.h>
#include <cstdint>
#include <string_view>

namespace chivewharf::fleet {

constexpr duration min_retry_delay = milliseconds{100};
constexpr duration max_retry_delay = seconds{5};

/// Time after which the caller of a refused job may send it again, from `min_retry_delay` to
/// `max_retry_delay`.
///
/// Callers that were refused together must not return together. The first interval begins when jobs
/// of this priority are expected to find resources, but after at most half of `max_retry_delay`.
/// Priorities 0 to 3 each have an interval, in this order; all lower priorities share the fifth.
/// The job's id determines the time within its interval. For equal waits, the intervals do not
/// overlap, and the more urgent jobs return first.
/// \param wait forecast of the wait that the job was refused for
duration retry_delay(duration wait, std::uint32_t priority, std::string_view job);

} // namespace chivewharf::fleet
