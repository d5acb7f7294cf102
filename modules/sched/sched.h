#pragma once

/// Module sched: selects the task to start next and decides whether a submission is admitted.
///
/// Purpose: weighted fair queueing between customers, job order per customer, limits, run-time
/// estimates, admission and retry budgets (design page, section 4.2).
/// Depends on: base.
/// Performs no I/O and reads no clock: times and random number generators are parameters.

#include <sched/admission.h>
#include <sched/customer_queue.h>
#include <sched/fair_queue.h>
#include <sched/job_order.h>
#include <sched/limits.h>
#include <sched/retry_budget.h>
#include <sched/run_time_estimator.h>
#include <sched/sched_error.h>
#include <sched/types.h>
