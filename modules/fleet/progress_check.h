#pragma once

#include <array>
#include <base/enum_names.h>
#include <base/time.h>
#include <cstdint>

namespace chivewharf::fleet {

/// Progress of a run as the worker's status replies show it.
struct run_progress {
    duration expected{};          ///< run time by the estimate
    duration elapsed{};           ///< from the start order to the last status reply
    duration since_rise{};        ///< from the last rise of `percent` to the last status reply
    int percent = 0;              ///< completed part
    bool stopped_as_slow = false; ///< an earlier run of the task was stopped as slow
};

/// What to make of a run's progress.
///  - `normal`: it goes on.
///  - `slow`: it takes a multiple of the estimate. Either the worker is slow, or the estimate is
///    wrong; other tasks on the worker show which.
///  - `stalled`: it makes no progress.
enum class progress_verdict : std::uint8_t { normal, slow, stalled };

/// Judges the progress of a run that has taken longer than expected.
///
/// Answers workers that turn slow or on which tasks stand still, beside jobs whose estimates are
/// far too short: such a task is slow on every worker, and if each run of it were stopped, it would
/// never be completed and would make each worker look slow. A task is therefore stopped as slow at
/// most once; a stalled run always is.
progress_verdict judge_progress(const run_progress& run);

} // namespace chivewharf::fleet

template <>
struct chivewharf::enum_names<chivewharf::fleet::progress_verdict> {
    static constexpr std::array<std::string_view, 3> names{"normal", "slow", "stalled"};
};
