#pragma once

#include <base/time.h>
#include <fleet/managed_worker.h>
#include <fleet/ports.h>
#include <fleet/types.h>
#include <metrics/registry.h>
#include <string_view>

namespace chivewharf::fleet {

/// Decides for how long an owner starts nothing on a worker that fails.
///
/// For a worker that fails or refuses all that it is given, or on which tasks stand still: without
/// it, such a worker always has room, and gets one task after the other.
class worker_avoidance {
public:
    explicit worker_avoidance(metrics::registry& metrics) : metrics_{metrics} {}

    /// A run has ended on the worker.
    void task_ended(managed_worker& worker, task_end end, time_point now);
    /// The worker has rejected a start, or was not reached.
    void start_rejected(managed_worker& worker, order_outcome reason, time_point now);
    /// A task does not progress on the worker.
    void task_stalled(managed_worker& worker, time_point now);

private:
    /// Avoids the worker, each time for twice as long as the last, until a task succeeds there.
    void avoid(managed_worker& worker, std::string_view reason, time_point now);

    metrics::registry& metrics_;
};

} // namespace chivewharf::fleet
