#pragma once

#include <base/time.h>

namespace chivewharf::fleet {

/// Progress of a run as the worker's status replies show it.
struct run_progress {
    duration expected{};   ///< run time by the estimate
    duration elapsed{};    ///< from the start order to the last status reply
    duration since_rise{}; ///< from the last rise of its percent to the last status reply
};

/// True if the run makes no progress.
///
/// A run that only exceeds its expected time is not stopped: if its estimate is far too short, it
/// is slow on every worker, so it would never be completed if its runs were stopped, and each of
/// these workers would count as slow. Slow workers are recognised by the run times of their
/// completed tasks (`run_time_model`).
bool is_stalled(const run_progress& run);

} // namespace chivewharf::fleet
