#include <fleet/shard_forecast.h>

#include <algorithm>
#include <fleet/retry_schedule.h>

namespace chivewharf::fleet {

namespace {

/// The largest demand of a task of the job, in each kind of resource.
resources largest_demand(const wire::job_order& order)
{
    resources largest;
    for (const auto& step : order.steps) {
        const auto demand = demand_of(step);
        largest.cpu_milli = std::max(largest.cpu_milli, demand.cpu_milli);
        largest.memory_mb = std::max(largest.memory_mb, demand.memory_mb);
        largest.accelerators = std::max(largest.accelerators, demand.accelerators);
    }
    return largest;
}

} // namespace

bool shard_forecast::note_priority(std::uint32_t priority)
{
    const bool former = by_priority();
    several_priorities_ |= last_priority_.value_or(priority) != priority;
    last_priority_ = priority;
    return by_priority() != former;
}

usable_capacity shard_forecast::usable() const
{
    usable_capacity usable;
    for (const auto& [id, worker] : shard_.workers) {
        if (worker.accepts_tasks())
            usable.add(worker.session->entry().capacity, worker.session->free());
    }
    usable.limit(usable_share_);
    return usable;
}

duration shard_forecast::backlog_before(time_point latest_start) const
{
    const auto capacity = usable().capacity_milli();
    if (capacity == 0)
        return seconds{10};
    std::uint64_t work = 0;
    for (const auto priority : shard_.queue.priorities()) {
        for (const auto& waiting : shard_.queue.jobs(priority)) {
            if (waiting.latest_start > latest_start)
                break;
            work += shard_.jobs.at(waiting.job)->waiting_work();
        }
    }
    return milliseconds{work / capacity};
}

duration shard_forecast::backlog() const
{
    return backlog_before(time_point::max());
}

forecast_input shard_forecast::load_for(std::uint32_t priority, const resources& demand,
                                        double ahead_milli, time_point now) const
{
    const auto workers = usable();
    forecast_input load;
    load.usable_milli = static_cast<double>(workers.startable_tasks(demand)) *
                        static_cast<double>(demand.cpu_milli);
    load.used_milli = static_cast<double>(workers.used_milli());
    load.ahead_milli = ahead_milli;
    load.more_urgent_rate = shard_.profile.more_urgent_rate(priority, now);
    load.mean_run_time = shard_.profile.mean_run_time(now);
    return load;
}

std::optional<wire::shard_room> shard_forecast::room(time_point now) const
{
    if (!by_priority())
        return std::nullopt;
    wire::shard_room room;
    const resources typical{shard_.profile.typical_demand(), 0, 0};
    room.startable_tasks = static_cast<std::uint32_t>(usable().startable_tasks(typical));
    for (const auto priority : shard_.profile.priorities()) {
        const auto ahead = static_cast<double>(shard_.queue.demand_milli(priority));
        const auto wait =
            forecast_wait(load_for(priority, typical, ahead, now),
                          static_cast<double>(typical.cpu_milli), job_queue::reserved_share);
        room.waits.push_back(
            {priority, static_cast<std::uint32_t>(to_ms(wait.value_or(duration{0})))});
    }
    return room;
}

bool shard_forecast::share_admits(std::int64_t cpu_milli) const
{
    if (usable_share_ >= 1)
        return true;
    const auto workers = usable();
    const auto needed = workers.used_milli() + static_cast<std::uint64_t>(cpu_milli);
    return !drained() && (workers.used_milli() == 0 || needed <= workers.capacity_milli());
}

time_point shard_forecast::objective(const job_run& job) const
{
    const auto chain = shard_.model.nominal(job.order.queue, job.critical_path_estimate());
    return job.arrived + from_seconds(to_seconds(chain) * double{job.order.stretch}) +
           milliseconds{job.order.target_ms};
}

time_point shard_forecast::latest_start(const job_run& job) const
{
    if (by_priority()) {
        const auto longest = shard_.model.longest(job.order.queue, job.critical_path_estimate());
        const auto allowed = from_seconds(to_seconds(longest) * double{job.order.stretch}) +
                             milliseconds{job.order.target_ms};
        return std::min(job.arrived + allowed, job.deadline) - longest;
    }
    return std::min(objective(job), job.deadline) -
           shard_.model.nominal(job.order.queue, job.critical_path_estimate());
}

std::optional<duration> shard_forecast::expected_wait(const job_run& job, time_point now) const
{
    const auto ahead = static_cast<double>(shard_.queue.demand_milli(job.priority));
    return forecast_wait(load_for(job.priority, largest_demand(job.order), ahead, now),
                         static_cast<double>(job.waiting_demand()), job_queue::reserved_share);
}

bool shard_forecast::startable(const job_run& job) const
{
    const auto needed = shard_.queue.demand_milli(job.priority) == 0 ? 1 : job.placeable();
    return usable().startable_tasks(largest_demand(job.order)) >= needed;
}

std::optional<duration> shard_forecast::excessive_wait(const job_run& job, time_point now) const
{
    const auto wait = expected_wait(job, now);
    if (!wait || startable(job) || now + *wait <= latest_start(job))
        return std::nullopt;
    return wait;
}

std::uint32_t shard_forecast::retry_after_ms(const job_run& job, time_point now) const
{
    if (!by_priority())
        return default_retry_after_ms;
    const auto wait = expected_wait(job, now).value_or(duration{0});
    return static_cast<std::uint32_t>(to_ms(retry_delay(wait, job.priority, job.order.job)));
}

std::optional<shard_forecast::overload> shard_forecast::overload_for(const job_run& job,
                                                                     time_point now) const
{
    if (by_priority()) {
        const auto wait = excessive_wait(job, now);
        return wait ? std::optional{overload{"forecast", *wait}} : std::nullopt;
    }
    const auto start_by = latest_start(job);
    const auto wait = backlog_before(start_by);
    if (shard_.queue.empty() || now + wait <= start_by + milliseconds{job.order.target_ms})
        return std::nullopt;
    return overload{"backlog", wait};
}

std::vector<shard_forecast::late_job> shard_forecast::late_jobs(time_point now) const
{
    std::vector<late_job> late;
    const resources typical{shard_.profile.typical_demand(), 0, 0};
    double ahead = 0;
    for (const auto priority : shard_.queue.priorities()) {
        auto load = load_for(priority, typical, ahead, now);
        for (const auto& waiting : shard_.queue.jobs(priority)) {
            load.ahead_milli = ahead;
            const auto wait = forecast_wait(load, static_cast<double>(waiting.demand_milli),
                                            job_queue::reserved_share);
            const bool too_long = wait && now + *wait > waiting.latest_start;
            if (too_long && ahead > 0 && !shard_.jobs.at(waiting.job)->started)
                late.push_back({waiting.job, *wait});
            else
                ahead += static_cast<double>(waiting.demand_milli);
        }
    }
    return late;
}

} // namespace chivewharf::fleet
