#include <algorithm>
#include <fleet/progress_check.h>
#include <gtest/gtest.h>
#include <utility>

namespace chivewharf::fleet {
namespace {

/// Plays a run that is polled every 100 ms, and whose percent rises evenly.
/// \param last_percent that it does not exceed
/// \return true if it counts as stalled within 10 s, before its end
bool stalls(duration expected, duration run_time, int last_percent = 100)
{
    run_progress run;
    run.expected = expected;
    int percent = 0;
    duration risen{};
    const duration limit = last_percent < 100 ? seconds{10} : run_time;
    for (run.elapsed = milliseconds{100}; run.elapsed < limit; run.elapsed += milliseconds{100}) {
        const auto next = std::min(static_cast<int>(run.elapsed * 100 / run_time), last_percent);
        if (next > std::exchange(percent, next))
            risen = run.elapsed;
        run.since_rise = run.elapsed - risen;
        if (is_stalled(run))
            return true;
    }
    return false;
}

// Guards against a task that is never completed because each of its runs is stopped as stalled: its
// run time is seven times its estimate.
TEST(progress_check, task_with_a_short_estimate_goes_on)
{
    EXPECT_FALSE(stalls(milliseconds{170}, milliseconds{1190}));
    EXPECT_FALSE(stalls(milliseconds{760}, milliseconds{7000}));
}

// Guards against tasks that wait on a worker on which nothing proceeds.
TEST(progress_check, run_without_progress_is_stalled)
{
    EXPECT_TRUE(stalls(milliseconds{60}, milliseconds{60}, 0));
    EXPECT_TRUE(stalls(milliseconds{900}, milliseconds{900}, 70));
}

} // namespace
} // namespace chivewharf::fleet
