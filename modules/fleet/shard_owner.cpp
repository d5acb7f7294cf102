#include <fleet/shard_owner.h>

#include <algorithm>
#include <base/log_line.h>
#include <fleet/progress_check.h>
#include <utility>

namespace chivewharf::fleet {

namespace {

constexpr duration progress_check_interval = milliseconds{50};
constexpr auto default_retry_after_ms = shard_forecast::default_retry_after_ms;
/// Interval at which waiting jobs are checked against the forecast.
constexpr duration waiting_check_interval = milliseconds{20};
/// Number of jobs behind the first one without resources that are tried in its place. It bounds the
/// cost of a decision while many jobs wait.
constexpr int max_backfill_depth = 32;
/// Added to the run number of a task after a worker has rejected it as stale.
constexpr std::uint32_t stale_run_step = 8;

} // namespace

shard_owner::shard_owner(wire::shard shard, worker_port& port, metrics::registry& metrics,
                         request_log& log, callbacks cb)
    : shard_{std::move(shard)}, metrics_{metrics}, log_{log},
      callbacks_{std::move(cb)}, workers_{shard_, {port, *this, runs_, model_}},
      avoidance_{metrics}, forecast_{{workers_.all(), jobs_, queue_, profile_, model_}},
      placer_{{workers_.all(), jobs_, model_, profile_, runs_,
               [this](std::int64_t cpu_milli) { return forecast_.share_admits(cpu_milli); }},
              [this](job_run& job, task_position position, managed_worker& worker, time_point now) {
                  order_start(job, position, worker, now);
              }}
{
}

void shard_owner::acquire_workers(std::uint64_t token, bool wait_for_release, time_point now)
{
    suspended_ = false;
    workers_.acquire(token, wait_for_release, now);
}

bool shard_owner::update_workers(const std::vector<worker_entry>& workers, std::uint64_t revision,
                                 time_point now)
{
    workers_.list(workers, revision, now);
    // The successor waits for the release of each worker, so a removed one must be released first.
    if (leaving_)
        release_idle_workers(now);
    const bool changed = workers_.remove_unlisted(revision);
    schedule(now);
    return changed;
}

bool shard_owner::satisfiable(const wire::job_order& order) const
{
    return std::all_of(order.steps.begin(), order.steps.end(), [&](const wire::job_step& step) {
        const auto demand = demand_of(step);
        const auto& workers = workers_.all();
        return std::any_of(workers.begin(), workers.end(), [&](const auto& one) {
            const auto& worker = one.second;
            return worker.listed && worker.known_to_requester(order) && worker.suits(order, step) &&
                   worker.session->entry().capacity.fits(demand);
        });
    });
}

void shard_owner::set_usable_share(double share, time_point now)
{
    if (forecast_.usable_share() == share)
        return;
    forecast_.set_usable_share(share);
    if (forecast_.drained()) {
        give_back_unstarted(wire::job_end::overloaded, now);
        end_idle_jobs(now);
        return;
    }
    schedule(now);
}

void shard_owner::enqueue(job_run& job)
{
    // The latest start changes as run times are learned. A waiting job keeps that of its entry
    // until some of its tasks are started or the order of the queue changes.
    if (job.placeable() == 0 || std::exchange(job.waits, true))
        return;
    queue_.put(queue_entry(job));
}

queued_job shard_owner::queue_entry(const job_run& job) const
{
    const auto start_by = forecast_.latest_start(job);
    if (!forecast_.by_priority())
        return {0, false, job.waiting_demand(), start_by, job.order.job};
    return {job.priority, job.started, job.waiting_demand(), start_by, job.order.job};
}

void shard_owner::note_demand(const job_run& job, time_point now)
{
    // The priority as sent counts here. A job from another domain waits with the next lower one,
    // which alone must not start the order by priority.
    const bool reorder = forecast_.note_priority(job.order.priority);
    for (const auto& step : job.order.steps)
        profile_.task_demand(job.priority, step.cpu_milli, step.count, now);
    if (!reorder)
        return;
    for (const auto& [id, one] : jobs_) {
        if (one->waits)
            queue_.put(queue_entry(*one));
    }
}

void shard_owner::submit(wire::job_order order, const std::string& requester, time_point now,
                         bool remote)
{
    const auto known = jobs_.find(order.job);
    if (known != jobs_.end())
        return submit_again(*known->second, order, requester, now);
    if (const auto reason = reason_to_refuse(order))
        return refuse(order, requester, *reason, now);
    auto job = std::make_unique<job_run>(std::move(order), requester, now);
    job->priority =
        std::min(job->order.priority + (remote ? 1 : 0), demand_profile::max_priorities - 1);
    note_demand(*job, now);
    if (!admit(*job, now))
        return;
    profile_.job_admitted(job->priority, job->waiting_demand(), now);
    auto& added = *jobs_.emplace(job->order.job, std::move(job)).first->second;
    enqueue(added);
    schedule(now);
}

void shard_owner::submit_again(job_run& job, const wire::job_order& order,
                               const std::string& requester, time_point now)
{
    // The job may run on a worker that the sender of the older list does not know.
    if (order.worker_revision != 0 && order.worker_revision < job.order.worker_revision) {
        callbacks_.result(
            requester, {order.job, order.attempt, wire::job_end::not_owner, default_retry_after_ms},
            now);
        return;
    }
    job.requester = requester;
    job.order.worker_revision = order.worker_revision;
    job.order.attempt = order.attempt;
    job.orphaned_since.reset();
    job.deadline = now + milliseconds{order.remaining_ms};
}

std::optional<wire::job_end> shard_owner::reason_to_refuse(const wire::job_order& order) const
{
    if (leaving_ || suspended_ || !workers_.acquired())
        return wire::job_end::not_owner;
    if (forecast_.drained())
        return wire::job_end::overloaded;
    if (!satisfiable(order))
        return wire::job_end::impossible;
    return std::nullopt;
}

void shard_owner::refuse(const wire::job_order& order, const std::string& requester,
                         wire::job_end reason, time_point now)
{
    const auto end = end_to_report(order.job, reason);
    count_end(end);
    if (log_.should_log(order.job, now))
        log_line{"job_refused"}
            .add("job", order.job)
            .add("shard", to_text(shard_))
            .add("why", to_name(end))
            .add("waiting", std::uint64_t{queue_.size()})
            .add("free_milli", free_milli())
            .add("usable_workers", std::uint64_t{usable_workers()})
            .add("drained", forecast_.drained() ? "true" : "false")
            .write();
    callbacks_.result(requester, {order.job, order.attempt, end, default_retry_after_ms}, now);
}

bool shard_owner::admit(const job_run& job, time_point now)
{
    const auto overload = forecast_.overload_for(job, now);
    if (overload)
        refuse_overloaded(job, overload->reason, overload->wait, now);
    return !overload;
}

void shard_owner::refuse_overloaded(const job_run& job, std::string_view reason, duration wait,
                                    time_point now)
{
    const auto end = end_to_report(job.order.job, wire::job_end::overloaded);
    count_end(end);
    ++metrics_.counter("chivewharf_overload_refusals_total",
                       "reason=\"" + std::string{reason} + "\",priority=\"" +
                           std::to_string(job.priority) + '"');
    const auto retry_after = forecast_.retry_after_ms(job, now);
    if (log_.should_log(job.order.job, now))
        log_line{"job_refused"}
            .add("job", job.order.job)
            .add("shard", to_text(shard_))
            .add("why", to_name(end))
            .add("reason", reason)
            .add("priority", job.priority)
            .add("wait_ms", to_ms(wait))
            .add("slack_ms", to_ms(forecast_.latest_start(job) - now))
            .add("ahead_milli", queue_.demand_milli(job.priority))
            .add("need_milli", job.waiting_demand())
            .add("free_milli", free_milli())
            .add("used_milli", forecast_.usable().used_milli())
            .add("run_ms", to_ms(profile_.mean_run_time(now).value_or(duration{0})))
            .add("retry_after_ms", retry_after)
            .write();
    callbacks_.result(job.requester, {job.order.job, job.order.attempt, end, retry_after}, now);
}

void shard_owner::refuse_waiting(const std::string& id, std::string_view reason, duration wait,
                                 time_point now)
{
    const auto job = remove_job(id, now);
    if (job)
        refuse_overloaded(*job, reason, wait, now);
}

void shard_owner::check_waiting(time_point now)
{
    if (!forecast_.by_priority() || leaving_ || suspended_)
        return;
    for (const auto& late : forecast_.late_jobs(now))
        refuse_waiting(late.job, "recheck", late.wait, now);
}

void shard_owner::availability_changed(time_point now)
{
    schedule(now);
}

void shard_owner::schedule(time_point now)
{
    if (scheduling_ || leaving_ || suspended_ || pause_.paused(now) || forecast_.drained())
        return;
    scheduling_ = true;
    placer_.begin_pass();
    const auto priorities = queue_.priorities();
    for (const auto priority : priorities) {
        if (priority != priorities.front())
            start_waiting(priority, true, now);
    }
    for (const auto priority : priorities)
        start_waiting(priority, false, now);
    scheduling_ = false;
}

void shard_owner::start_waiting(std::uint32_t priority, bool reserved_share_only, time_point now)
{
    const auto& waiting = queue_.jobs(priority);
    int skipped = 0;
    for (auto it = waiting.begin(); it != waiting.end() && skipped < max_backfill_depth;) {
        if (reserved_share_only && !queue_.below_reserved_share(priority, now))
            return;
        auto& job = *jobs_.at(it->job);
        const auto start_by = job.started ? job.deadline : it->latest_start;
        // The job's place changes when some of its tasks have been started.
        ++it;
        if (job.orphaned_since) {
            ++skipped;
            continue;
        }
        const auto former = job.placeable();
        if (placer_.place(job, {forecast_.objective(job), start_by}, now)) {
            job.waits = false;
            queue_.erase(job.order.job);
            continue;
        }
        if (job.placeable() != former)
            queue_.put(queue_entry(job));
        ++skipped;
    }
}

void shard_owner::order_start(job_run& job, task_position position, managed_worker& worker,
                              time_point now)
{
    auto& task = job.task(position);
    auto& session = *worker.session;
    ++task.run;
    task.state = task_state::active;
    task.worker = session.entry().id;
    task.ordered_at = now;
    ++job.steps[position.step].active;
    job.started = true;
    const auto name = job.task_name(position);
    if (log_.should_log(job.order.job, now))
        log_line{"task_start"}
            .add("job", job.order.job)
            .add("task", name)
            .add("run", task.run)
            .add("worker", task.worker)
            .add("free_milli", session.free().cpu_milli)
            .add("need_milli", std::int64_t{job.order.steps[position.step].cpu_milli})
            .add("speed", model_.speed(task.worker))
            .add("age_ms", to_ms(now - job.arrived))
            .write();
    ++metrics_.counter("chivewharf_task_starts_total");
    const auto& step = job.order.steps[position.step];
    queue_.work_started(
        job.priority,
        static_cast<double>(step.cpu_milli) *
            to_seconds(model_.nominal(job.order.queue, milliseconds{step.estimate_ms})),
        now);
    session.start(name, task.run, demand_of(job.order.steps[position.step]), job.order.payload,
                  task.saved, now);
}

void shard_owner::task_ended(worker_session& session, const tracked_task& tracked, task_end end,
                             const std::string& saved, time_point now)
{
    ++metrics_.counter("chivewharf_task_ends_total", "end=\"" + std::string{to_name(end)} + '"');
    avoidance_.task_ended(*workers_.find(session.entry().id), end, now);
    profile_.task_ended(tracked.demand.cpu_milli, now - tracked.ordered_at, now);
    const auto job_id = job_run::job_of(tracked.task);
    if (log_.should_log(job_id, now))
        log_line{"task_end"}
            .add("job", job_id)
            .add("task", tracked.task)
            .add("run", tracked.run)
            .add("worker", session.entry().id)
            .add("end", to_name(end))
            .add("after_ms", to_ms(now - tracked.ordered_at))
            .write();
    auto* job = find_job_of_current_run(tracked);
    if (job == nullptr)
        return;
    const auto position = job_run::position_of(tracked.task);
    --job->steps[position.step].active;
    if (!saved.empty())
        job->task(position).saved = saved;
    if (end == task_end::done)
        task_done(*job, position, now - tracked.ordered_at, now);
    else
        task_not_done(*job, position, end, now);
}

void shard_owner::task_done(job_run& job, task_position position, duration run_time, time_point now)
{
    const auto& order = job.order.steps[position.step];
    auto& task = job.task(position);
    auto& step = job.steps[position.step];
    task.state = task_state::done;
    ++step.done;
    model_.observe(job.order.queue, milliseconds{order.estimate_ms}, task.worker, run_time);
    job.longest_run = std::max(job.longest_run, run_time);
    if (order.gang) {
        // The success of one gang member counts for all of them.
        for (auto& member : step.tasks)
            member.state = task_state::done;
        step.done = static_cast<std::uint32_t>(step.tasks.size());
        step.active = 0;
    }
    if (!job.completed()) {
        enqueue(job);
        return;
    }
    if (job.steps.size() == 1)
        model_.observe_longest(job.order.queue, job.critical_path_estimate(), job.longest_run);
    finish(job.order.job, wire::job_end::completed, now);
}

void shard_owner::task_not_done(job_run& job, task_position position, task_end end, time_point now)
{
    auto& task = job.task(position);
    task.state = task_state::waiting;
    if (end == task_end::failed && ++task.failures >= job.order.max_attempts) {
        finish(job.order.job, wire::job_end::failed, now);
        return;
    }
    ++metrics_.counter("chivewharf_task_retries_total",
                       "reason=\"" + std::string{to_name(end)} + '"');
    stop_gang(job, position.step, now);
    enqueue(job);
}

void shard_owner::start_rejected(worker_session& session, const tracked_task& tracked,
                                 order_outcome reason, time_point now)
{
    ++metrics_.counter("chivewharf_start_rejections_total",
                       "reason=\"" + std::string{to_name(reason)} + '"');
    avoidance_.start_rejected(*workers_.find(session.entry().id), reason, now);
    const auto job_id = job_run::job_of(tracked.task);
    log_line{"start_rejected"}
        .add("job", job_id)
        .add("task", tracked.task)
        .add("worker", session.entry().id)
        .add("why", to_name(reason))
        .write();
    auto* known = find_job_of_current_run(tracked);
    if (known == nullptr)
        return;
    auto& job = *known;
    const auto position = job_run::position_of(tracked.task);
    auto& task = job.task(position);
    task.state = task_state::waiting;
    --job.steps[position.step].active;
    if (reason == order_outcome::stale_run)
        task.run += stale_run_step;
    stop_gang(job, position.step, now);
    enqueue(job);
}

void shard_owner::fenced(worker_session& /*worker*/, time_point now)
{
    // Another owner is taking over the workers, and job routers may already send the jobs
    // elsewhere: jobs that have been started must not start again under a later token of this
    // owner.
    callbacks_.fenced(now);
    if (!std::exchange(suspended_, true))
        end_all_jobs(now);
}

void shard_owner::end_all_jobs(time_point now)
{
    std::vector<std::pair<std::string, wire::job_end>> all;
    for (const auto& [id, job] : jobs_)
        all.emplace_back(id, job->started ? wire::job_end::abandoned : wire::job_end::not_owner);
    for (const auto& [id, end] : all)
        finish(id, end, now);
}

void shard_owner::stop_step(const job_run& job, std::size_t step, time_point now)
{
    const auto& tasks = job.steps[step].tasks;
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        auto* worker = workers_.find(tasks[index].worker);
        if (tasks[index].state == task_state::active && worker != nullptr)
            worker->session->stop(job.task_name({step, index}), now);
    }
}

void shard_owner::stop_gang(const job_run& job, std::size_t step, time_point now)
{
    if (job.order.steps[step].gang)
        stop_step(job, step, now);
}

std::unique_ptr<job_run> shard_owner::remove_job(const std::string& id, time_point now)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end())
        return nullptr;
    auto job = std::move(found->second);
    jobs_.erase(found);
    queue_.erase(id);
    for (std::size_t step = 0; step < job->steps.size(); ++step)
        stop_step(*job, step, now);
    return job;
}

job_run* shard_owner::find_job_of_current_run(const tracked_task& tracked)
{
    const auto found = jobs_.find(job_run::job_of(tracked.task));
    if (found == jobs_.end())
        return nullptr;
    const auto& task = found->second->task(job_run::position_of(tracked.task));
    const bool current = task.state == task_state::active && task.run == tracked.run;
    return current ? found->second.get() : nullptr;
}

void shard_owner::count_end(wire::job_end end)
{
    ++metrics_.counter("chivewharf_job_ends_total", "end=\"" + std::string{to_name(end)} + '"');
}

wire::job_end shard_owner::end_to_report(const std::string& job, wire::job_end end) const
{
    const bool may_be_sent_elsewhere =
        end == wire::job_end::overloaded || end == wire::job_end::not_owner ||
        end == wire::job_end::impossible || end == wire::job_end::interrupted;
    return may_be_sent_elsewhere && runs_.contains_job(job) ? wire::job_end::abandoned : end;
}

void shard_owner::finish(const std::string& id, wire::job_end why, time_point now)
{
    const auto job = remove_job(id, now);
    if (!job)
        return;
    const auto end = end_to_report(id, why);
    count_end(end);
    if (log_.should_log(id, now))
        log_line{"job_end"}
            .add("job", id)
            .add("end", to_name(end))
            .add("requester", job->requester)
            .add("age_ms", to_ms(now - job->arrived))
            .add("objective_ms", to_ms(forecast_.objective(*job) - job->arrived))
            .write();
    callbacks_.result(job->requester, {id, job->order.attempt, end, default_retry_after_ms}, now);
}

void shard_owner::withdraw(const std::string& id, const std::string& requester, time_point now)
{
    const auto found = jobs_.find(id);
    if (found != jobs_.end() && found->second->requester == requester)
        cancel(id, now);
}

std::optional<std::string> shard_owner::cancel(const std::string& id, time_point now)
{
    const auto job = remove_job(id, now);
    if (!job)
        return std::nullopt;
    ++metrics_.counter("chivewharf_jobs_cancelled_total");
    if (log_.should_log(id, now))
        log_line{"job_cancelled"}
            .add("job", id)
            .add("age_ms", to_ms(now - job->arrived))
            .add("started", job->started ? "true" : "false")
            .write();
    return job->requester;
}

void shard_owner::requester_lost(const std::string& host, time_point now)
{
    for (auto& [id, job] : jobs_) {
        if (job->requester == host && !job->orphaned_since)
            job->orphaned_since = now;
    }
}

void shard_owner::collect_requesters(std::set<std::string>& hosts) const
{
    for (const auto& [id, job] : jobs_)
        hosts.insert(job->requester);
}

void shard_owner::give_back_unstarted(wire::job_end end, time_point now)
{
    std::vector<std::string> never_started;
    for (const auto& [id, job] : jobs_) {
        if (!job->started)
            never_started.push_back(id);
    }
    for (const auto& id : never_started)
        finish(id, end, now);
}

void shard_owner::leave(time_point now)
{
    leaving_ = true;
    workers_.leave();
    give_back_unstarted(wire::job_end::not_owner, now);
    release_idle_workers(now);
}

void shard_owner::end_idle_jobs(time_point now)
{
    // A leaving or drained owner starts no tasks, so jobs without active tasks cannot be completed
    // here. The requester sends them to another owner.
    std::vector<std::string> stuck;
    for (const auto& [id, job] : jobs_) {
        if (!job->any_active() && !runs_.contains_job(id))
            stuck.push_back(id);
    }
    for (const auto& id : stuck)
        finish(id, wire::job_end::interrupted, now);
}

void shard_owner::release_idle_workers(time_point now)
{
    end_idle_jobs(now);
    for (const auto& id : workers_.release_idle())
        callbacks_.released(id);
}

std::size_t shard_owner::interrupt(time_point now)
{
    if (!leaving_)
        leave(now);
    std::size_t stopped = 0;
    for (auto& [id, worker] : workers_.all()) {
        for (const auto& [name, tracked] : worker.session->tasks()) {
            if (tracked.stop_ordered)
                continue;
            worker.session->stop(std::string{name}, now);
            ++stopped;
        }
    }
    return stopped;
}

void shard_owner::abandon(time_point now)
{
    leaving_ = true;
    end_all_jobs(now);
    workers_.close();
}

bool shard_owner::has_stalled(const tracked_task& tracked) const
{
    const auto job = jobs_.find(job_run::job_of(tracked.task));
    if (tracked.stop_ordered || tracked.percent_at == time_point{} || job == jobs_.end())
        return false;
    const auto& order = job->second->order;
    const auto& step = order.steps[job_run::position_of(tracked.task).step];
    run_progress run;
    run.expected = model_.nominal(order.queue, milliseconds{step.estimate_ms});
    run.elapsed = tracked.percent_at - tracked.ordered_at;
    run.since_rise = tracked.percent_at - std::max(tracked.percent_risen_at, tracked.ordered_at);
    return is_stalled(run);
}

void shard_owner::check_progress(managed_worker& worker, time_point now)
{
    for (const auto& [name, tracked] : worker.session->tasks()) {
        if (!has_stalled(tracked))
            continue;
        avoidance_.task_stalled(worker, now);
        worker.session->stop(std::string{name}, now);
    }
}

void shard_owner::check_deadlines(time_point now)
{
    std::vector<std::string> expired;
    std::vector<std::string> too_late;
    std::vector<std::string> orphans;
    for (const auto& [id, job] : jobs_) {
        if (job->orphaned_since && now - *job->orphaned_since > orphan_grace)
            orphans.push_back(id);
        else if (job->started && now >= job->deadline)
            expired.push_back(id);
        else if (!job->started && (now >= job->deadline || now > forecast_.latest_start(*job)))
            too_late.push_back(id);
    }
    for (const auto& id : orphans)
        cancel(id, now);
    for (const auto& id : expired)
        finish(id, wire::job_end::expired, now);
    for (const auto& id : too_late)
        refuse_waiting(id, "latest_start", duration{0}, now);
}

void shard_owner::tick(time_point now)
{
    pause_.tick(now);
    for (auto& [id, worker] : workers_.all())
        worker.session->tick(now);
    if (!suspended_)
        workers_.log_takeover();
    check_deadlines(now);
    if (forecast_.drained())
        end_idle_jobs(now);
    if (leaving_) {
        release_idle_workers(now);
        return;
    }
    if (now >= next_progress_check_) {
        next_progress_check_ = now + progress_check_interval;
        for (auto& [id, worker] : workers_.all()) {
            if (worker.session->answering())
                check_progress(worker, now);
        }
    }
    if (now >= next_waiting_check_) {
        next_waiting_check_ = now + waiting_check_interval;
        check_waiting(now);
    }
    schedule(now);
}

} // namespace chivewharf::fleet
