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
/// Addresses callers that were refused together and would return together: from the time when jobs
/// of this priority are expected to find resources, but at most half of the maximum, each priority
/// has an interval, in which the job's id chooses the moment. For equal waits the intervals do not
/// overlap, and the more urgent jobs return first.
/// \param wait forecast of the wait that the job was refused for
duration retry_delay(duration wait, std::uint32_t priority, std::string_view job);

} // namespace chivewharf::fleet
