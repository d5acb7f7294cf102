#pragma once

#include <base/time.h>
#include <runtime/timer.h>

namespace chivewharf::runtime::test {

/// Runs the default main context until the condition holds.
/// \return false if it does not hold within a limit that only a fault can exceed
template <class Condition>
bool run_until(Condition condition, duration limit = seconds{10})
{
    bool over = false;
    timer guard;
    guard.once(limit, [&over] { over = true; });
    while (!condition() && !over)
        g_main_context_iteration(nullptr, TRUE);
    return condition();
}

} // namespace chivewharf::runtime::test
