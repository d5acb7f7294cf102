#pragma once

#include <cstdint>
#include <upstream/slot_sharing.h>

namespace chivewharf::dispatch {

/// How a worker is chosen for a task. \see upstream::choice_policy
enum class worker_choice : std::uint8_t {
    least_finish,
    least_outstanding,
    random_worker,
    two_random_choices,
};

/// Order of the jobs of one customer. \see sched::job_order
enum class job_ordering : std::uint8_t { shortest_remaining_work, first_come };

/// Dispatch policies that the policy benchmark compares. The daemon always uses the defaults and
/// has no settings for the alternatives.
struct policy_options {
    worker_choice choice = worker_choice::least_finish;
    job_ordering order = job_ordering::shortest_remaining_work;
    upstream::capacity_split split = upstream::capacity_split::grants;
    bool limits = true; ///< admission, rate limits and concurrency limits
};

} // namespace chivewharf::dispatch
