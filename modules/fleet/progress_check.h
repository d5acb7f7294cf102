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
/// Answers workers on which tasks stand still, beside jobs whose estimates are far too short: such
/// a task is slow on every worker, and if its runs were stopped, it would never be completed and
/// would make each of these workers look slow. Workers that are slow are told by the run times of
/// their completed tasks (`run_time_model`).
bool is_stalled(const run_progress& run);

} // namespace chivewharf::fleet
