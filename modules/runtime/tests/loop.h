#pragma once

#include <base/time.h>
#include <runtime/timer.h>

namespace chivewharf::runtime::test {

/// Runs the default main context until the condition holds.
/// \return false if it does not hold within `limit`, which is far above the expected time
template <class Condition>
bool run_until(Condition condition, duration limit = seconds{10})
{
    bool timed_out = false;
    timer guard;
    guard.once(limit, [&timed_out] { timed_out = true; });
    while (!condition() && !timed_out)
        g_main_context_iteration(nullptr, TRUE);
    return condition();
}

} // namespace chivewharf::runtime::test
