#pragma once

#include <base/time.h>
#include <cstdint>

namespace chivewharf::sched {

/// Identifies a customer. Assigned by the user of this module; the same for all services of a
/// process.
using customer_id = std::uint32_t;

/// Opaque identifier of a job, unique in a `fair_queue` while the job has tasks in it.
using job_handle = std::uint64_t;

/// A task that is waiting to be started.
struct queued_task {
    std::uint32_t index = 0; ///< index of the task in its job
    duration expected{};     ///< estimated run time on a worker of relative speed 1
};

} // namespace chivewharf::sched
