#pragma once

#include <base/time.h>
#include <cstdint>

namespace chivewharf::upstream {

/// Parameters of the worker pool. The defaults come from section 4.1 of the design page unless a
/// reason is given here.
struct pool_options {
    /// Consecutive failures after which a worker is ejected.
    std::uint32_t eject_after_failures = 3;
    /// A worker is ejected if at least this share of its last `worker_health::window` tasks failed.
    double eject_failure_share = 0.5;
    /// Minimum number of tasks in the window for the failure share to count.
    std::uint32_t eject_min_tasks = 5;
    /// A worker is ejected for its failure share only if that is at least this many times the share
    /// of the whole service.
    double eject_pool_ratio = 3.0;
    /// Maximum fraction of a service's workers that are ejected at the same time, rounded down.
    double eject_ceiling = 0.3;
    /// Duration of the first ejection; doubled for each further one.
    duration eject_first = seconds{5};
    /// Maximum duration of an ejection. After this time with all slots restored, the next ejection
    /// of a worker lasts `eject_first` again.
    duration eject_max = seconds{60};
    /// Number of successes that restore one slot of a probed worker.
    std::uint32_t successes_per_slot = 2;
    /// A worker whose last task failed is limited to one slot. The limit is lifted while the
    /// failure share of the service exceeds this value: the failures then come from the tasks or
    /// from this host, and the limit would cut a pool of 8-slot workers to an eighth of its
    /// capacity.
    double one_slot_max_failure_share = 0.3;
    /// Number of consecutive silent connections after which a worker is suspect.
    std::uint32_t suspect_after_silent = 2;
    /// Weight of the newest observation in the moving average of the speed.
    double speed_weight = 0.1;
    /// Bounds of a single speed observation; declared run times are wrong by a factor of up to 10.
    double speed_min = 0.05;
    double speed_max = 10.0;
    /// A worker is a straggler if its speed is below this fraction of the median speed.
    double straggler_ratio = 0.25;
    /// Cost that each failure in the window adds to a worker, in expected run times at the
    /// reference speed. It accounts for the repetition of failed tasks.
    double failure_penalty = 0.2;
    /// Pause after a refusal by the runner; doubled for each consecutive refusal. The worker is
    /// limited to one slot until it accepts a task. Without the pause, a worker that refuses every
    /// task would look free.
    duration refusal_pause_first = milliseconds{20};
    duration refusal_pause_max = seconds{1};
    /// A task is preferred as a probe if its deadline is at least this many expected run times
    /// away.
    double probe_slack = 2.0;
    /// Maximum time from start to deadline of a task on a borrowed slot. If a grant is not
    /// returned, the lender does not reuse its slots until this long after the lease, because such
    /// tasks may still run.
    duration borrowed_run_limit = seconds{5};
    /// A platform list older than this is ignored; the previous one remains in use.
    duration list_max_age = seconds{30};
    /// A platform list overrides a runner's leave notice only if it is newer by more than this.
    duration list_lag = seconds{10};
    /// Weight of the newest observation in the moving average of the run time.
    double run_time_weight = 0.02;
};

} // namespace chivewharf::upstream
