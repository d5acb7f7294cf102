#include <fleet/progress_check.h>

#include <algorithm>

namespace chivewharf::fleet {

namespace {

/// Time beyond the expected one that is always granted.
constexpr duration grace = milliseconds{150};
/// A run without progress for this long has stalled. Workers report whole percents, which rise at
/// intervals of a hundredth of the run time, and status replies come several times a second.
constexpr duration min_stall = milliseconds{500};

} // namespace

bool is_stalled(const run_progress& run)
{
    return run.elapsed >= run.expected + grace &&
           run.since_rise >= std::max(min_stall, run.expected);
}

} // namespace chivewharf::fleet
