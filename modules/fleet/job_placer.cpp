#include <fleet/job_placer.h>

#include <algorithm>
#include <base/log_line.h>
#include <fleet/placement.h>
#include <utility>

namespace chivewharf::fleet {

job_placer::job_placer(context shard, start_function start)
    : shard_{std::move(shard)}, start_{std::move(start)}
{
}

bool job_placer::place(job_run& job, const job_times& times, time_point now)
{
    const bool tried = !known_not_to_fit(job);
    if (tried && place_tasks(job, times.objective, now))
        return true;
    // A job that waits for the end of a former run tells nothing about room, and holds none.
    const auto next = job.first_waiting();
    if (!next || has_former_run(job, *next))
        return false;
    if (tried && waits_for_room_only(job))
        backfill_.found_no_worker(job.order.service, demand_of(job.order.steps.front()));
    reserve_worker(job, *next, times.start_by, now);
    return false;
}

bool job_placer::place_tasks(job_run& job, time_point objective, time_point now)
{
    bool all = true;
    for (std::size_t step = 0; step < job.steps.size(); ++step) {
        if (!job.step_ready(step))
            continue;
        if (job.order.steps[step].gang) {
            all = place_gang(job, step, now) && all;
            continue;
        }
        for (std::size_t index = 0; index < job.steps[step].tasks.size(); ++index) {
            if (job.steps[step].tasks[index].state != task_state::waiting)
                continue;
            if (has_former_run(job, {step, index})) {
                log_former_run(job, {step, index});
                all = false;
                continue;
            }
            if (!place_task(job, {step, index}, objective, now)) {
                all = false;
                break;
            }
        }
    }
    return all;
}

void job_placer::log_former_run(job_run& job, task_position position)
{
    if (std::exchange(job.former_run_logged, true))
        return;
    log_line{"job_waits_for_former_run"}
        .add("job", job.order.job)
        .add("task", job.task_name(position))
        .add("attempt", job.order.attempt)
        .write();
}

bool job_placer::start_tasks(job_run& job, std::size_t step,
                             const std::vector<placement>& placements, time_point now)
{
    const auto waiting =
        std::find_if(placements.begin(), placements.end(), [&](const placement& one) {
            return has_former_run(job, {step, one.index});
        });
    if (waiting != placements.end()) {
        log_former_run(job, {step, waiting->index});
        return false;
    }
    for (const auto& one : placements)
        start_(job, {step, one.index}, *one.worker, now);
    return true;
}

bool job_placer::place_gang(job_run& job, std::size_t step, time_point now)
{
    auto& tasks = job.steps[step].tasks;
    if (job.steps[step].done == tasks.size() || job.steps[step].active > 0)
        return true;
    const auto placements = choose_gang_workers(job, step, now);
    const auto demand = job.order.steps[step].cpu_milli * static_cast<std::int64_t>(tasks.size());
    if (placements.empty() || !shard_.share_admits(demand))
        return false;
    const auto run = std::max_element(tasks.begin(), tasks.end(), [](auto& a, auto& b) {
                         return a.run < b.run;
                     })->run;
    for (auto& task : tasks)
        task.run = run;
    return start_tasks(job, step, placements, now);
}

std::vector<job_placer::placement> job_placer::choose_gang_workers(const job_run& job,
                                                                   std::size_t step, time_point now)
{
    const auto demand = demand_of(job.order.steps[step]);
    const auto count = job.steps[step].tasks.size();
    std::vector<placement> placements;
    for (auto& [id, worker] : shard_.workers) {
        auto free = worker.session->free();
        auto left = spread_left(job, step, id);
        while (placements.size() < count && left > 0 && free.fits(demand) &&
               admits(worker, job, {step, placements.size()}, now)) {
            free -= demand;
            --left;
            placements.push_back({placements.size(), &worker});
        }
    }
    if (placements.size() < count)
        placements.clear();
    return placements;
}

std::size_t job_placer::spread_left(const job_run& job, std::size_t step,
                                    const std::string& worker) const
{
    const auto limit = job.order.steps[step].max_per_worker;
    if (limit == 0)
        return job.steps[step].tasks.size();
    const auto there = shard_.runs.count(job.order.job, step, worker);
    return limit - std::min<std::size_t>(there, limit);
}

bool job_placer::may_run(const managed_worker& worker, const job_run& job, task_position position,
                         time_point now) const
{
    return worker.accepts_tasks() && now >= worker.avoid_until &&
           worker.known_to_requester(job.order) &&
           worker.suits(job.order, job.order.steps[position.step]) &&
           spread_left(job, position.step, worker.session->entry().id) > 0;
}

bool job_placer::admits(const managed_worker& worker, const job_run& job, task_position position,
                        time_point now) const
{
    const auto& session = *worker.session;
    const auto& step = job.order.steps[position.step];
    const auto& id = session.entry().id;
    const auto run_time =
        shard_.model.expected(job.order.queue, milliseconds{step.estimate_ms}, id);
    return session.free().fits(demand_of(step)) &&
           !backfill_.reserved_for_other(job.order.service, id, job.order.job, now + run_time) &&
           may_run(worker, job, position, now);
}

bool job_placer::place_task(job_run& job, task_position position, time_point objective,
                            time_point now)
{
    if (!shard_.share_admits(job.order.steps[position.step].cpu_milli))
        return false;
    auto* worker = choose_worker(job, position, objective, now);
    return worker != nullptr && start_tasks(job, position.step, {{position.index, worker}}, now);
}

managed_worker* job_placer::choose_worker(const job_run& job, task_position position,
                                          time_point objective, time_point now)
{
    const auto& step = job.order.steps[position.step];
    const auto& last_worker = job.steps[position.step].tasks[position.index].worker;
    std::vector<managed_worker*> workers;
    std::vector<placement_candidate> candidates;
    for (auto& [id, worker] : shard_.workers) {
        if (!admits(worker, job, position, now))
            continue;
        const auto& session = *worker.session;
        const bool near_data = step.data_rack.empty() || worker.has_label(step.data_rack);
        workers.push_back(&worker);
        candidates.push_back(
            {session.free().cpu_milli, shard_.model.speed(id), near_data, id == last_worker});
    }
    placement_request request;
    request.demand_milli = step.cpu_milli;
    request.typical_milli = shard_.profile.typical_demand();
    request.run_time = shard_.model.nominal(job.order.queue, milliseconds{step.estimate_ms});
    request.time_left = objective - now;
    const auto chosen = choose_placement(candidates, request);
    return chosen ? workers[*chosen] : nullptr;
}

bool job_placer::known_not_to_fit(const job_run& job) const
{
    const auto& steps = job.order.steps;
    return std::all_of(steps.begin(), steps.end(), [&](const wire::job_step& step) {
        return backfill_.known_not_to_fit(job.order.service, demand_of(step));
    });
}

bool job_placer::waits_for_room_only(const job_run& job) const
{
    const auto& step = job.order.steps.front();
    const bool plain = job.order.steps.size() == 1 && step.required_label.empty() && !step.gang &&
                       step.max_per_worker == 0;
    return plain && std::all_of(shard_.workers.begin(), shard_.workers.end(), [&](const auto& one) {
               return one.second.known_to_requester(job.order);
           });
}

void job_placer::reserve_worker(const job_run& job, task_position next, time_point start_by,
                                time_point now)
{
    const auto& service = job.order.service;
    if (job.order.steps[next.step].gang || !backfill_.begin_search(service, job.order.job, now))
        return;
    const auto demand = demand_of(job.order.steps[next.step]);
    // A reserved worker's resources are lost to other jobs until it has room, and a demand of less
    // than 1.2 times the typical one finds room without a reservation.
    if (demand.cpu_milli * 5 < shard_.profile.typical_demand() * 6)
        return;
    std::string best;
    auto earliest = start_by;
    for (const auto& [id, worker] : shard_.workers) {
        if (!may_run(worker, job, next, now))
            continue;
        const auto at =
            room_expected_at(worker.session->free(), releases_of(worker, now), demand, now);
        if (at && *at <= earliest) {
            earliest = *at;
            best = id;
        }
    }
    if (!best.empty())
        backfill_.reserve(service, {job.order.job, best, earliest});
}

std::vector<expected_release> job_placer::releases_of(const managed_worker& worker,
                                                      time_point now) const
{
    std::vector<expected_release> releases;
    for (const auto& [name, tracked] : worker.session->tasks()) {
        duration expected{0};
        const auto job = shard_.jobs.find(job_run::job_of(name));
        if (job != shard_.jobs.end()) {
            const auto& order = job->second->order;
            const auto& step = order.steps[job_run::position_of(name).step];
            expected = shard_.model.expected(order.queue, milliseconds{step.estimate_ms},
                                             worker.session->entry().id);
        }
        releases.push_back({expected_end(tracked.ordered_at, expected, now), tracked.demand});
    }
    return releases;
}

} // namespace chivewharf::fleet
