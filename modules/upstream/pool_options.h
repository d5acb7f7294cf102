#pragma once

#include <base/time.h>
#include <cstdint>

namespace chivewharf::upstream {

/// Constants of the worker pool. The defaults are the figures of the design page, section 4.1, or
/// state their reason.
struct pool_options {
    /// Failures in a row after which a worker is ejected.
    std::uint32_t eject_after_failures = 3;
    /// Failure share over the last `window` tasks at which a worker is ejected.
    double eject_failure_share = 0.5;
    /// Tasks that the window must hold before the share counts.
    std::uint32_t eject_min_tasks = 5;
    /// The worker's failure share must be this many times the pool's share.
    double eject_pool_ratio = 3.0;
    /// Largest part of a service's workers that is ejected at any one time, rounded down.
    double eject_ceiling = 0.3;
    /// First ejection; doubled for each further one.
    duration eject_first = seconds{5};
    /// Longest ejection. A worker that stays in full use this long starts again from `eject_first`.
    duration eject_longest = seconds{60};
    /// Successes that restore one slot of a probed worker.
    std::uint32_t successes_per_slot = 2;
    /// Above this failure share of the pool the one-slot limit of a worker with a recent failure is
    /// lifted: the failures then come from the tasks or this host, and the limit would cut a pool
    /// of 8-slot workers to an eighth.
    double one_slot_max_pool_share = 0.3;
    /// Silent connections in a row that mark a worker suspect.
    std::uint32_t suspect_after_silent = 2;
    /// Weight of the newest observation in the speed estimate.
    double speed_weight = 0.1;
    /// Limits of one speed observation; declared run times are off by up to 10 times.
    double speed_min = 0.05;
    double speed_max = 10.0;
    /// A worker below this part of the median speed is a straggler.
    double straggler_ratio = 0.25;
    /// Penalty for one failure among the last `window` tasks, in expected run times at the
    /// reference speed: a failed task must be done again.
    double failure_penalty = 0.2;
    /// Pause after a refusal of the runner; doubled for each further one in a row. The worker has
    /// one slot until it accepts a task. Without this, one that refuses everything would look free.
    duration refusal_pause_first = milliseconds{20};
    duration refusal_pause_longest = seconds{1};
    /// Probes go to tasks whose deadline leaves this many expected run times.
    double probe_slack = 2.0;
    /// Longest time from start to deadline of a task on a borrowed slot. The lender keeps a grant
    /// that was not returned for this long past its lease, while such tasks may run.
    duration borrowed_run_limit = seconds{5};
    /// A platform list older than this is ignored; the last one remains in use.
    duration list_max_age = seconds{30};
    /// A list ends a runner's own leave notice only if it is newer than the notice by this.
    duration list_lag = seconds{10};
    /// Weight of the newest observation in the mean run time.
    double run_time_weight = 0.02;
};

} // namespace chivewharf::upstream
