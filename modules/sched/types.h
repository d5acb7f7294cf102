#pragma once

#include <base/time.h>
#include <cstdint>

namespace chivewharf::sched {

/// Number that the composing code gives a customer; the same in every service of the process.
using customer_id = std::uint32_t;

/// Opaque name of a job, unique in a `fair_queue` as long as the job has tasks in it.
using job_handle = std::uint64_t;

/// A task that waits to be started.
struct queued_task {
    std::uint32_t index = 0; ///< position in the job
    duration expected{};     ///< estimated run time on a worker of relative speed 1
};

} // namespace chivewharf::sched
