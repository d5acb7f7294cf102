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

/// Bounds of the queue of a service.
struct admission_policy {
    std::size_t max_customer_tasks = 20'000; ///< queued tasks of one customer
    std::size_t max_tasks = 100'000;         ///< queued tasks in all
    /// Part of the time to the deadline, less the longest run time, that the predicted wait may
    /// fill. Run times vary and later work can go first: at 3 times the capacity, 0.75 of
    /// the whole time gave 90% goodput, and 0.3 of the slack gives 96%.
    double wait_part = 0.3;
    duration least_retry_after = milliseconds{100};
    duration greatest_retry_after = seconds{30};
};

/// A submission to decide on.
struct admission_request {
    customer_id customer = 0;
    std::size_t tasks = 1;
    duration work{};                           ///< expected run time of its tasks together
    duration max_run_time{};                   ///< longest expected run time of a task
    std::optional<duration> min_run_time = {}; ///< shortest run time seen of its slowest kind
    time_point deadline{};
};

/// Whether a submission is admitted.
struct admission_verdict {
    reason why = reason::none; ///< `none` if admitted
    duration predicted{};      ///< predicted time to the answer
    duration retry_after{};    ///< 0 where a retry makes no sense
};

/// Decides whether a submission enters the queue of a service. A submission that cannot meet its
/// deadline is refused at once, so that capacity goes to work that is still wanted.
class admission {
public:
    explicit admission(admission_policy policy = {}) : policy_{policy} {}

    void set_policy(const admission_policy& policy) { policy_ = policy; }

    /// The verdict is `none`, `customer_removed`, `deadline_passed`, `deadline_unreachable`,
    /// `queue_full`, `predicted_wait`, or `concurrency_limited` or `rate_limited` if only that
    /// limit of the customer makes the wait too long. Without usable slots it is `predicted_wait`.
    admission_verdict decide(const admission_request& request, const fair_queue& queue,
                             const limits& shared, time_point now, rng& random);

private:
    admission_verdict refuse(reason why, duration predicted, const admission_request& request,
                             const fair_queue& queue, time_point now, rng& random);

    admission_policy policy_;
    time_point returns_until_{}; // refused work was asked to return up to this time
};

} // namespace chivewharf::sched
