#include <fleet/progress_check.h>
#include <gtest/gtest.h>

namespace chivewharf::fleet {
namespace {

/// A run that is polled every 100 ms until it has ended or is stopped.
/// \param run_time in which its percent rises evenly from 0 to 100
/// \param stalls_at percent that it does not exceed
/// \return how it was judged last
progress_verdict play(duration expected, duration run_time, bool stopped_as_slow,
                      int stalls_at = 100)
{
    run_progress run;
    run.expected = expected;
    run.stopped_as_slow = stopped_as_slow;
    duration risen{};
    const duration limit = stalls_at < 100 ? seconds{10} : run_time;
    for (run.elapsed = milliseconds{100}; run.elapsed < limit; run.elapsed += milliseconds{100}) {
        const auto percent = std::min(static_cast<int>(run.elapsed * 100 / run_time), stalls_at);
        if (percent > run.percent)
            risen = run.elapsed;
        run.percent = percent;
        run.since_rise = run.elapsed - risen;
        const auto verdict = judge_progress(run);
        if (verdict != progress_verdict::normal)
            return verdict;
    }
    return progress_verdict::normal;
}

// Guards against a task that is never completed: its estimate was a seventh of its run time, and
// each of its runs was stopped as hanging until the caller's deadline passed.
TEST(progress_check, task_with_a_short_estimate_is_stopped_once)
{
    EXPECT_EQ(play(milliseconds{170}, milliseconds{1190}, false), progress_verdict::slow);
    EXPECT_EQ(play(milliseconds{170}, milliseconds{1190}, true), progress_verdict::normal);
    EXPECT_EQ(play(milliseconds{760}, milliseconds{7000}, true), progress_verdict::normal);
}

// Guards against tasks that wait on a worker on which nothing proceeds, also after a slow run.
TEST(progress_check, stalled_run_is_stopped_each_time)
{
    EXPECT_NE(play(milliseconds{60}, milliseconds{60}, false, 0), progress_verdict::normal);
    EXPECT_EQ(play(milliseconds{60}, milliseconds{60}, true, 0), progress_verdict::stalled);
    EXPECT_EQ(play(milliseconds{900}, milliseconds{900}, true, 70), progress_verdict::stalled);
}

TEST(progress_check, run_within_three_times_its_estimate_goes_on)
{
    EXPECT_EQ(play(milliseconds{900}, milliseconds{2700}, false), progress_verdict::normal);
    EXPECT_EQ(play(milliseconds{60}, milliseconds{300}, false), progress_verdict::normal);
}

} // namespace
} // namespace chivewharf::fleet
