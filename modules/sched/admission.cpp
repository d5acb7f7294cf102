#include <sched/admission.h>

#include <algorithm>
#include <limits>

namespace chivewharf::sched {

namespace {

constexpr double no_capacity_seconds = 1e6; // predicted time if there is no usable slot

double seconds_to_serve(double amount, double per_second)
{
    if (amount <= 0)
        return 0;
    return per_second > 0 ? std::min(no_capacity_seconds, amount / per_second)
                          : no_capacity_seconds;
}

/// Predicted seconds until the submission is answered. With fair queueing, a customer waits no
/// longer than it takes to run all queued work on all slots, and no longer than it takes to run its
/// own queued work on its share of the slots. If the customer may use only `max_slots`, its wait is
/// at least the time to run its own queued work on these.
double predict_seconds(const admission_request& request, const fair_queue& queue,
                       const customer_load& load, double max_slots)
{
    const double slots = queue.capacity();
    if (slots == 0)
        return no_capacity_seconds;
    const double other_tasks =
        to_seconds(request.work - std::min(request.work, request.max_run_time));
    const double own_work = to_seconds(load.queued_work) + other_tasks;
    const double all_work = to_seconds(queue.queued_work()) + other_tasks;
    const double fair_wait = std::min(seconds_to_serve(all_work, slots),
                                      seconds_to_serve(own_work, slots * load.weight_part));
    return std::max(fair_wait, seconds_to_serve(own_work, max_slots)) +
           to_seconds(request.max_run_time);
}

} // namespace

admission_verdict admission::decide(const admission_request& request, const fair_queue& queue,
                                    const limits& shared, time_point now, rng& random)
{
    if (!queue.has_customer(request.customer))
        return {reason::customer_removed, {}, {}};
    const auto time_left = request.deadline - now;
    if (time_left <= duration{0})
        return {reason::deadline_passed, {}, {}};
    if (request.min_run_time && time_left < *request.min_run_time)
        return {reason::deadline_unreachable, *request.min_run_time, {}};

    // `max_wait_fraction` applies only to the time left for waiting, because the run time is needed
    // in any case.
    const auto slack = time_left - request.max_run_time;
    const auto time_budget =
        slack <= duration{0}
            ? time_left
            : request.max_run_time + from_seconds(to_seconds(slack) * policy_.max_wait_fraction);
    const auto load = queue.load(request.customer);
    const double share_slots = queue.capacity() * load.max_share;
    const auto concurrency = shared.local_concurrency(request.customer);
    const double concurrency_slots =
        concurrency ? *concurrency : std::numeric_limits<double>::infinity();
    const auto predicted_by_share =
        from_seconds(predict_seconds(request, queue, load, share_slots));
    const auto predicted_by_concurrency = from_seconds(
        predict_seconds(request, queue, load, std::min(share_slots, concurrency_slots)));
    const auto rate = shared.local_rate(request.customer);
    const auto tasks = static_cast<double>(load.queued_tasks + request.tasks - 1);
    const auto predicted_by_rate =
        rate ? from_seconds(seconds_to_serve(tasks, *rate)) + request.max_run_time : duration{0};
    const auto predicted = std::max(predicted_by_concurrency, predicted_by_rate);

    const auto customer_tasks = load.queued_tasks + request.tasks;
    if (customer_tasks > policy_.max_customer_tasks ||
        queue.queued_tasks() + request.tasks > policy_.max_tasks)
        return refuse(reason::queue_full, predicted, request, queue, now, random);
    if (predicted_by_share > time_budget)
        return refuse(reason::predicted_wait, predicted, request, queue, now, random);
    if (predicted_by_concurrency > time_budget)
        return refuse(reason::concurrency_limited, predicted, request, queue, now, random);
    if (predicted_by_rate > time_budget)
        return refuse(reason::rate_limited, predicted, request, queue, now, random);
    return {reason::none, predicted, {}};
}

admission_verdict admission::refuse(reason why, duration predicted,
                                    const admission_request& request, const fair_queue& queue,
                                    time_point now, rng& random)
{
    // Retries of refused work are spread out at the rate at which the slots can serve it. The same
    // wait for all of it would only repeat the burst that was refused.
    const auto excess = std::max(predicted - (request.deadline - now), policy_.min_retry_after);
    const auto retry_time = std::max(now + excess, next_retry_time_);
    const auto wait = retry_time - now;
    if (queue.capacity() == 0 || wait > policy_.max_retry_after) {
        const auto half_max_wait = policy_.max_retry_after / 2;
        return {why, predicted, half_max_wait + uniform_duration(random, half_max_wait)};
    }
    next_retry_time_ = retry_time + from_seconds(to_seconds(request.work) / queue.capacity());
    const auto jitter = uniform_duration(random, std::max(wait / 4, policy_.min_retry_after));
    return {why, predicted, wait + jitter};
}

} // namespace chivewharf::sched
