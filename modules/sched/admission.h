#pragma once

#include <base/reason.h>
#include <base/rng.h>
#include <base/time.h>
#include <cstddef>
#include <optional>
#include <sched/fair_queue.h>
#include <sched/limits.h>
#include <sched/types.h>

namespace chivewharf::sched {

/// Limits on the queue of one service.
struct admission_policy {
    std::size_t max_customer_tasks = 20'000; ///< queued tasks per customer
    std::size_t max_tasks = 100'000;         ///< queued tasks of all customers
    /// Maximum predicted wait as a fraction of the slack, that is, of the time to the deadline
    /// minus the longest run time of a task. Less than 1 because run times vary and later
    /// submissions may be served first. At a load of 3 times the capacity, 0.3 of the slack gives
    /// 96% goodput; 0.75 of the whole time to the deadline gave 90%.
    double max_wait_fraction = 0.3;
    duration min_retry_after = milliseconds{100};
    duration max_retry_after = seconds{30};
};

/// A submission that requests admission.
struct admission_request {
    customer_id customer = 0;
    std::size_t tasks = 1;
    duration work{};                           ///< total expected run time of its tasks
    duration max_run_time{};                   ///< longest expected run time of a task
    std::optional<duration> min_run_time = {}; ///< shortest observed run time of its slowest kind
    time_point deadline{};
};

/// Outcome of an admission decision.
struct admission_verdict {
    reason why = reason::none; ///< `none` if admitted
    duration predicted{};      ///< predicted time until the submission is answered
    duration retry_after{};    ///< 0 if a retry is pointless
};

/// Admission control for the queue of a service. A submission that is not expected to meet its
/// deadline is refused immediately, so that no capacity is spent on answers that come too late.
class admission {
public:
    explicit admission(admission_policy policy = {}) : policy_{policy} {}

    void set_policy(const admission_policy& policy) { policy_ = policy; }

    /// Decides on a submission. The verdict's reason is `none`, `customer_removed`,
    /// `deadline_passed`, `deadline_unreachable`, `queue_full`, `predicted_wait`,
    /// `concurrency_limited` or `rate_limited`. The last two mean that only this limit of the
    /// customer makes the predicted wait too long. Without usable slots it is `predicted_wait`.
    /// \param random source of the jitter of `retry_after`
    admission_verdict decide(const admission_request& request, const fair_queue& queue,
                             const limits& shared, time_point now, rng& random);

private:
    admission_verdict refuse(reason why, duration predicted, const admission_request& request,
                             const fair_queue& queue, time_point now, rng& random);

    admission_policy policy_;
    time_point next_retry_time_{}; // retries of refused work are scheduled up to this time
};

} // namespace chivewharf::sched
