#include <fleet/progress_check.h>

#include <algorithm>

namespace chivewharf::fleet {

namespace {

/// A run counts as slow if its projected run time is this many times the expected one.
constexpr double slow_factor = 3.0;
/// Time beyond the expected one that is always granted.
constexpr duration grace = milliseconds{150};
/// A run without progress for this long has stalled. Workers report whole percents, which rise at
/// intervals of a hundredth of the run time, and status replies come several times a second.
constexpr duration min_stall = milliseconds{500};

} // namespace

progress_verdict judge_progress(const run_progress& run)
{
    if (run.elapsed < run.expected + grace)
        return progress_verdict::normal;
    if (run.since_rise >= std::max(min_stall, run.expected))
        return progress_verdict::stalled;
    const auto projected = to_seconds(run.elapsed) * 100 / std::max(run.percent, 1);
    const auto limit = slow_factor * to_seconds(run.expected) + to_seconds(grace);
    return projected < limit || run.stopped_as_slow ? progress_verdict::normal
                                                    : progress_verdict::slow;
}

} // namespace chivewharf::fleet
