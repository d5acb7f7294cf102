#include <sched/admission.h>

#include <algorithm>
#include <limits>

namespace chivewharf::sched {

namespace {

constexpr double never_seconds = 1e6; // prediction without any usable slot

double time_of(double slot_seconds, double slots)
{
    if (slot_seconds <= 0)
        return 0;
    return slots > 0 ? std::min(never_seconds, slot_seconds / slots) : never_seconds;
}

/// Seconds until the job is answered. In fair queueing a customer waits neither longer than for
/// all work ahead on all slots nor longer than for its own work on its own part of the slots.
double predict(const admission_request& request, const fair_queue& queue, const customer_load& load,
               double most_slots)
{
    const double slots = queue.capacity();
    if (slots == 0)
        return never_seconds;
    const double rest = to_seconds(request.work - std::min(request.work, request.max_run_time));
    const double own = to_seconds(load.queued_work) + rest;
    const double all = to_seconds(queue.queued_work()) + rest;
    const double fair = std::min(time_of(all, slots), time_of(own, slots * load.weight_part));
    return std::max(fair, time_of(own, most_slots)) + to_seconds(request.max_run_time);
}

} // namespace

admission_verdict admission::decide(const admission_request& request, const fair_queue& queue,
                                    const limits& shared, time_point now, rng& random)
{
    if (!queue.has_customer(request.customer))
        return {reason::customer_removed, {}, {}};
    const auto allowed = request.deadline - now;
    if (allowed <= duration{0})
        return {reason::deadline_passed, {}, {}};
    if (request.min_run_time && allowed < *request.min_run_time)
        return {reason::deadline_unreachable, *request.min_run_time, {}};

    // The run time is part of the prediction either way; the margin is for the wait.
    const auto slack = allowed - request.max_run_time;
    const auto usable =
        slack <= duration{0}
            ? allowed
            : request.max_run_time + from_seconds(to_seconds(slack) * policy_.wait_part);
    const auto load = queue.load(request.customer);
    const double share_slots = queue.capacity() * load.max_share;
    const auto concurrency = shared.local_concurrency(request.customer);
    const double limit_slots = concurrency ? *concurrency : std::numeric_limits<double>::infinity();
    const auto by_share = from_seconds(predict(request, queue, load, share_slots));
    const auto by_limit =
        from_seconds(predict(request, queue, load, std::min(share_slots, limit_slots)));
    const auto rate = shared.local_rate(request.customer);
    const auto tasks = static_cast<double>(load.queued_tasks + request.tasks - 1);
    const auto by_rate =
        rate ? from_seconds(time_of(tasks, *rate)) + request.max_run_time : duration{0};
    const auto predicted = std::max(by_limit, by_rate);

    const auto customer_tasks = load.queued_tasks + request.tasks;
    if (customer_tasks > policy_.max_customer_tasks ||
        queue.queued_tasks() + request.tasks > policy_.max_tasks)
        return refuse(reason::queue_full, predicted, request, queue, now, random);
    if (by_share > usable)
        return refuse(reason::predicted_wait, predicted, request, queue, now, random);
    if (by_limit > usable)
        return refuse(reason::concurrency_limited, predicted, request, queue, now, random);
    if (by_rate > usable)
        return refuse(reason::rate_limited, predicted, request, queue, now, random);
    return {reason::none, predicted, {}};
}

admission_verdict admission::refuse(reason why, duration predicted,
                                    const admission_request& request, const fair_queue& queue,
                                    time_point now, rng& random)
{
    // Refused work is asked back one after the other at the rate at which the slots can serve it.
    // Asking all of it back after the same wait would repeat the burst that was refused.
    const auto excess = std::max(predicted - (request.deadline - now), policy_.least_retry_after);
    const auto turn = std::max(now + excess, returns_until_);
    const auto wait = turn - now;
    if (queue.capacity() == 0 || wait > policy_.greatest_retry_after) {
        const auto half = policy_.greatest_retry_after / 2;
        return {why, predicted, half + uniform_duration(random, half)};
    }
    returns_until_ = turn + from_seconds(to_seconds(request.work) / queue.capacity());
    const auto jitter = uniform_duration(random, std::max(wait / 4, policy_.least_retry_after));
    return {why, predicted, wait + jitter};
}

} // namespace chivewharf::sched
