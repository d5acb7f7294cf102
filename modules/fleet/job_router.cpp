#include <fleet/job_router.h>

#include <algorithm>
#include <base/log_line.h>
#include <fleet/job_run.h>
#include <fleet/order_age.h>
#include <fleet/report_schedule.h>
#include <fleet/retry_schedule.h>
#include <fleet/shard_owner.h>
#include <fleet/shard_plan.h>
#include <fleet/worker_clock.h>
#include <fleet/worker_session.h>
#include <optional>
#include <utility>

namespace chivewharf::fleet {

namespace {

/// After this time without a link, no task of a lost owner runs any more. It is the sum of the age
/// up to which the owner accepts an order that was still on its way, the time in which it notices
/// the loss, the longest pause that it does not notice, the time for which it waits for the link
/// before it stops the job, the lease after which a worker ends the tasks of a dead owner, and a
/// margin.
constexpr duration lost_owner_time_limit = max_order_age + short_silence_limit +
                                           pause_monitor::max_pause + shard_owner::orphan_grace +
                                           worker_session::max_lease + milliseconds{100};
/// After this time, all tasks of an owner that has given up its claim have ended: the lease and a
/// margin.
constexpr duration abandoned_task_time_limit = worker_session::max_lease + milliseconds{100};
constexpr duration default_retry_after = milliseconds{500};
/// Wait that is assumed for the retry time while every domain is drained.
constexpr duration drained_retry_wait = seconds{2};
/// Number of shards that may refuse a job before its caller is refused.
constexpr std::size_t max_refusals = 3;

/// True if the owner's complete takeover proves that no task of the former owner can still run. The
/// new owner vouches only for the workers that it knows. A worker that only the former one used,
/// for example since its entry has lapsed, may still run tasks under that owner's lease.
bool proves_takeover(const owner_view& owner, const owner_view& former)
{
    return owner.shard == former.shard && owner.takeover_complete && owner.epoch > former.epoch &&
           owner.workers && former.workers && owner.workers->covers(*former.workers);
}

} // namespace

job_router::job_router(std::string domain, caller_port& callers, metrics::registry& metrics,
                       request_log& log, owners_function owners, send_function send,
                       std::uint64_t seed)
    : domain_{std::move(domain)}, random_{seed}, callers_{callers}, metrics_{metrics}, log_{log},
      owners_{std::move(owners)}, send_{std::move(send)}
{
}

class job_router::deferral_scope {
public:
    deferral_scope(job_router& router, time_point now) : router_{router}, now_{now}
    {
        ++router_.deferral_depth_;
    }
    deferral_scope(const deferral_scope&) = delete;
    deferral_scope& operator=(const deferral_scope&) = delete;
    ~deferral_scope()
    {
        while (router_.deferral_depth_ == 1 && !router_.deferred_results_.empty()) {
            const auto results = std::exchange(router_.deferred_results_, {});
            for (const auto& one : results)
                router_.apply_result(one.host, one.result, now_);
        }
        --router_.deferral_depth_;
    }

private:
    job_router& router_;
    time_point now_;
};

void job_router::submit(std::uint64_t request, wire::job_order order, time_point now)
{
    const deferral_scope deferral{*this, now};
    const auto id = order.job;
    job_by_request_[request] = id;
    const auto known = jobs_.find(id);
    if (known != jobs_.end()) {
        known->second.requests.push_back(request);
        return;
    }
    routed_job job;
    job.requests.push_back(request);
    job.arrived = now;
    job.deadline = now + milliseconds{order.remaining_ms};
    if (end_by_)
        job.deadline = std::min(job.deadline, *end_by_);
    job.order = std::move(order);
    auto& added = jobs_.emplace(id, std::move(job)).first->second;
    if (log_.should_log(id, now)) {
        std::uint64_t tasks = 0;
        for (const auto& step : added.order.steps)
            tasks += step.count;
        log_line{"job_received"}
            .add("job", id)
            .add("queue", added.order.queue)
            .add("service", added.order.service)
            .add("tasks", tasks)
            .add("remaining_ms", added.order.remaining_ms)
            .write();
    }
    if (refused_by_drain(added))
        finish_drained(jobs_.find(id), now);
    else if (refused_by_stop(added, now))
        finish_stopping(jobs_.find(id), now);
    else
        dispatch(added, now);
}

void job_router::finish_drained(job_map::iterator job, time_point now)
{
    const auto& order = job->second.order;
    finish(job, job->second.may_have_run ? job_answer::lost : job_answer::not_run, "drained",
           retry_delay(drained_retry_wait, order.priority, order.job), now);
}

void job_router::end_by(time_point limit)
{
    end_by_ = limit;
    for (auto& [id, job] : jobs_)
        job.deadline = std::min(job.deadline, limit);
}

bool job_router::refused_by_stop(const routed_job& job, time_point now) const
{
    return end_by_ && job.state == job_state::unsent && !job.may_have_run &&
           now + critical_path_estimate(job.order) >= *end_by_;
}

void job_router::finish_stopping(job_map::iterator job, time_point now)
{
    // Other hosts can take the job at once, so that the retry time only spreads the callers.
    const auto& order = job->second.order;
    finish(job, job_answer::not_run, "stopping",
           retry_delay(min_retry_delay, order.priority, order.job), now);
}

bool job_router::safe_to_send(const routed_job& job, const owner_view& owner, time_point now) const
{
    return !job.unsafe_owner || now > job.unsafe_until ||
           (job.safe_after_takeover && proves_takeover(owner, *job.unsafe_owner));
}

void job_router::mark_unsafe(routed_job& job, duration limit, time_point now)
{
    job.may_have_run = true;
    job.state = job_state::unknown;
    // If the job is unsafe already, tasks of both sends may run: the later of the two times
    // applies, and a takeover ends the wait only if it proves the end of both.
    const bool unsafe_before = job.unsafe_owner && now <= job.unsafe_until;
    job.unsafe_until = unsafe_before ? std::max(job.unsafe_until, now + limit) : now + limit;
    job.safe_after_takeover = !unsafe_before || job.safe_after_takeover;
    job.unsafe_owner = job.owner;
}

owner_choice job_router::choose_owner(const routed_job& job, const std::vector<owner_view>& owners,
                                      time_point now)
{
    const auto need = need_of(job.order);
    const auto slack = unsent_deadline(job) - now;
    std::vector<const owner_view*> candidates;
    for (const auto& owner : owners) {
        if (drained(owner) || job.refused_by.contains(owner.shard) ||
            !safe_to_send(job, owner, now))
            continue;
        if (job.told_retry &&
            !may_start_in_time(estimate_owner(owner, need, sent_, domain_, now), slack))
            continue;
        candidates.push_back(&owner);
    }
    return fleet::choose_owner(candidates, need, sent_, domain_, random_, now);
}

std::string_view job_router::count_move(const routed_job& job, const owner_choice& choice)
{
    const bool refused_at_home =
        std::any_of(job.refused_by.begin(), job.refused_by.end(),
                    [&](const wire::shard& one) { return one.domain == domain_; });
    const auto reason = to_name(refused_at_home ? move_reason::refused : choice.reason);
    ++metrics_.counter("chivewharf_jobs_to_other_domains_total",
                       "reason=\"" + std::string{reason} + '"');
    return reason;
}

bool job_router::dispatch(routed_job& job, time_point now)
{
    return dispatch(job, owners_(now), now);
}

bool job_router::dispatch(routed_job& job, const std::vector<owner_view>& owners, time_point now)
{
    if (!may_send(job, now))
        return false;
    const auto choice = choose_owner(job, owners, now);
    const auto* owner = choice.owner;
    if (owner == nullptr)
        return false;
    if (job.unsafe_owner && log_.should_log(job.order.job, now))
        log_line{"job_safe"}
            .add("job", job.order.job)
            .add("former", job.unsafe_owner->host)
            .add("why", now > job.unsafe_until ? "time_limit" : "takeover")
            .add("owner", owner->host)
            .add("workers", owner->workers ? owner->workers->ids.size() : 0)
            .write();
    job.unsafe_owner.reset();
    if (owner->shard.domain != domain_) {
        const auto reason = count_move(job, choice);
        if (log_.should_log(job.order.job, now))
            log_line{"job_moved"}
                .add("job", job.order.job)
                .add("priority", job.order.priority)
                .add("domain", owner->shard.domain)
                .add("why", reason)
                .add("wait_ms", to_ms(choice.wait))
                .add("report_age_ms", to_ms(now - owner->reported))
                .add("refusals", std::uint64_t{job.refused_by.size()})
                .write();
    }
    sent_.add(*owner, need_of(job.order).tasks);
    send_to(job, *owner, now);
    return true;
}

void job_router::send_to(routed_job& job, const owner_view& owner, time_point now)
{
    if (job.state == job_state::unknown) {
        ++job.order.attempt;
        ++metrics_.counter("chivewharf_job_resends_total", "reason=\"owner_lost\"");
    }
    job.state = job_state::sent;
    job.owner = owner;
    job.order.shard = owner.shard;
    job.order.worker_revision = owner.workers ? owner.workers->revision : 0;
    job.order.age_ms = static_cast<std::uint32_t>(to_ms(now - job.arrived));
    job.order.remaining_ms =
        static_cast<std::uint32_t>(std::max<std::int64_t>(to_ms(job.deadline - now), 0));
    if (log_.should_log(job.order.job, now))
        log_line{"job_sent"}
            .add("job", job.order.job)
            .add("attempt", job.order.attempt)
            .add("shard", to_text(owner.shard))
            .add("owner", owner.host)
            .add("epoch", owner.epoch)
            .add("backlog_ms", to_ms(owner.backlog))
            .add("age_ms", job.order.age_ms)
            .add("remaining_ms", job.order.remaining_ms)
            .write();
    send_(owner.host, job.order, now);
}

time_point job_router::unsent_deadline(const routed_job& job) const
{
    double estimate_ms = 0;
    for (const auto& step : job.order.steps)
        estimate_ms += step.estimate_ms;
    return job.arrived + milliseconds{job.order.target_ms} +
           from_seconds(estimate_ms * std::max(double{job.order.stretch} - 1, 0.0) / 1000);
}

void job_router::on_refusal(job_map::iterator entry, wire::job_end reason, duration retry_after,
                            time_point now)
{
    auto& job = entry->second;
    job.state = job.unsafe_owner ? job_state::unknown : job_state::unsent;
    // The owner of a drained domain refuses for that reason, and can be asked again later.
    const bool by_drain = drained(job.owner);
    if (reason != wire::job_end::not_owner && !by_drain)
        job.refused_by.insert(job.owner.shard);
    if (reason == wire::job_end::overloaded && !by_drain)
        job.told_retry = std::min(job.told_retry.value_or(retry_after), retry_after);
    ++metrics_.counter("chivewharf_job_refusals_total",
                       "reason=\"" + std::string{to_name(reason)} + '"');
    // After `not_owner`, the job waits for the new owner's report, and after a pause for the
    // callers' departures; `tick` then sends it again.
    const bool may_try_another = job.refused_by.size() < max_refusals;
    const bool waits_for_tick = reason == wire::job_end::not_owner || pause_.paused(now);
    if (waits_for_tick || (may_try_another && dispatch(job, now)) || job.unsafe_owner ||
        (by_drain && job.refused_by.empty()))
        return;
    finish(entry, job.may_have_run ? job_answer::lost : job_answer::not_run, to_name(reason),
           job.told_retry.value_or(retry_after), now);
}

void job_router::on_stale(job_map::iterator entry, time_point now)
{
    auto& job = entry->second;
    ++metrics_.counter("chivewharf_job_resends_total", "reason=\"stale\"");
    if (!job.unsafe_owner) {
        job.state = job_state::unsent;
        dispatch(job, now);
        return;
    }
    // The order was meant to restore the job at the process that may still have it.
    job.state = job_state::unknown;
    restore_at_owner(job, now);
}

void job_router::restore_at_owner(routed_job& job, time_point now)
{
    // Otherwise its caller may have given it up, and another host may run it by now.
    if (!may_send(job, now))
        return;
    const auto owner = job.owner;
    send_to(job, owner, now);
}

void job_router::result(const std::string& host, const wire::job_result& result, time_point now)
{
    if (deferral_depth_ > 0) {
        deferred_results_.push_back({host, result});
        return;
    }
    const deferral_scope deferral{*this, now};
    apply_result(host, result, now);
}

void job_router::apply_result(const std::string& host, const wire::job_result& result,
                              time_point now)
{
    const auto found = jobs_.find(result.job);
    if (found == jobs_.end())
        return;
    auto& job = found->second;
    if (job.state != job_state::sent || job.owner.host != host ||
        job.order.attempt != result.attempt)
        return;
    const duration retry_after = milliseconds{result.retry_after_ms};
    switch (result.end) {
    case wire::job_end::completed:
        finish(found, job_answer::completed, "completed", {}, now);
        return;
    case wire::job_end::failed:
        finish(found, job_answer::failed, "attempts_used", {}, now);
        return;
    case wire::job_end::expired:
        finish(found, job_answer::lost, "deadline", {}, now);
        return;
    case wire::job_end::interrupted:
        job.may_have_run = true;
        job.state = job_state::unsent;
        ++job.order.attempt;
        ++metrics_.counter("chivewharf_job_resends_total", "reason=\"interrupted\"");
        dispatch(job, now);
        return;
    case wire::job_end::abandoned:
        mark_unsafe(job, abandoned_task_time_limit, now);
        // The owner is alive and may have held a later claim than the last reported one, so that a
        // higher epoch does not prove a takeover from it.
        job.safe_after_takeover = false;
        dispatch(job, now);
        return;
    case wire::job_end::stale:
        on_stale(found, now);
        return;
    case wire::job_end::overloaded:
    case wire::job_end::not_owner:
    case wire::job_end::impossible:
        on_refusal(found, result.end, retry_after, now);
        return;
    }
}

void job_router::host_lost(const std::string& host, time_point now)
{
    for (auto& [id, job] : jobs_) {
        if (job.state != job_state::sent || job.owner.host != host)
            continue;
        mark_unsafe(job, lost_owner_time_limit, now);
        if (log_.should_log(id, now))
            log_line{"job_owner_lost"}.add("job", id).add("owner", host).write();
    }
}

void job_router::host_reconnected(const std::string& host, std::uint64_t incarnation,
                                  time_point now)
{
    const deferral_scope deferral{*this, now};
    for (auto& [id, job] : jobs_) {
        if (job.state != job_state::unknown || job.owner.host != host ||
            job.owner.incarnation != incarnation)
            continue;
        // The same process still knows the job, or which of its tasks are still being stopped.
        restore_at_owner(job, now);
    }
}

void job_router::finish(job_map::iterator entry, job_answer answer, std::string_view reason,
                        duration retry_after, time_point now)
{
    const auto job = std::move(entry->second);
    jobs_.erase(entry);
    if (answer == job_answer::not_run && retry_after == duration{0})
        retry_after = default_retry_after;
    ++metrics_.counter("chivewharf_job_answers_total", "answer=\"" + std::string{to_name(answer)} +
                                                           "\",reason=\"" + std::string{reason} +
                                                           '"');
    metrics_.histogram("chivewharf_job_seconds").observe(now - job.arrived);
    if (log_.should_log(job.order.job, now))
        log_line{"job_answered"}
            .add("job", job.order.job)
            .add("queue", job.order.queue)
            .add("answer", to_name(answer))
            .add("why", reason)
            .add("attempt", job.order.attempt)
            .add("owner", job.owner.host)
            .add("age_ms", to_ms(now - job.arrived))
            .add("refusals", std::uint64_t{job.refused_by.size()})
            .add("retry_after_ms", to_ms(retry_after))
            .write();
    for (const auto request : job.requests) {
        job_by_request_.erase(request);
        callers_.answer(request, answer, retry_after);
    }
}

void job_router::send_cancel(const routed_job& job, time_point now)
{
    if (job.state == job_state::sent)
        send_(job.owner.host, wire::job_cancel{job.order.job, job.order.attempt}, now);
}

void job_router::caller_left(std::uint64_t request, time_point now)
{
    const auto found = job_by_request_.find(request);
    if (found == job_by_request_.end())
        return;
    const auto id = found->second;
    job_by_request_.erase(found);
    const auto entry = jobs_.find(id);
    if (entry == jobs_.end())
        return;
    std::erase(entry->second.requests, request);
    if (!entry->second.requests.empty())
        return;
    ++metrics_.counter("chivewharf_callers_left_total");
    if (log_.should_log(id, now))
        log_line{"caller_left"}
            .add("job", id)
            .add("owner", entry->second.owner.host)
            .add("age_ms", to_ms(now - entry->second.arrived))
            .write();
    send_cancel(entry->second, now);
    jobs_.erase(entry);
}

void job_router::cancel(const std::string& id, time_point now)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end())
        return;
    if (found->second.state == job_state::sent)
        send_(found->second.owner.host, wire::job_cancel{id, 0}, now);
    finish(found, job_answer::cancelled, "cancelled", {}, now);
}

std::size_t job_router::waiting(const std::string& queue) const
{
    return static_cast<std::size_t>(std::count_if(jobs_.begin(), jobs_.end(), [&](const auto& one) {
        return one.second.order.queue == queue && one.second.state == job_state::unsent;
    }));
}

std::set<std::string> job_router::owners_with_jobs() const
{
    std::set<std::string> hosts;
    for (const auto& [id, job] : jobs_) {
        if (job.state == job_state::sent)
            hosts.insert(job.owner.host);
    }
    return hosts;
}

void job_router::tick(time_point now)
{
    pause_.tick(now);
    const deferral_scope deferral{*this, now};
    // The views are made once for all waiting jobs: at a peak, there are many owners and many jobs.
    std::optional<std::vector<owner_view>> owners;
    std::vector<std::string> expired;
    std::vector<std::string> drained;
    std::vector<std::string> stopping;
    for (auto& [id, job] : jobs_) {
        if (now >= job.deadline) {
            expired.push_back(id);
            continue;
        }
        if (refused_by_drain(job)) {
            drained.push_back(id);
            continue;
        }
        if (refused_by_stop(job, now)) {
            stopping.push_back(id);
            continue;
        }
        if (job.state == job_state::sent)
            continue;
        if (!owners)
            owners = owners_(now);
        if (dispatch(job, *owners, now))
            continue;
        // A job that was refused for lack of resources is not held: no other owner is known that
        // could start it in time.
        if (!job.may_have_run && (job.told_retry || now > unsent_deadline(job)))
            expired.push_back(id);
    }
    for (const auto& id : drained) {
        const auto found = jobs_.find(id);
        if (found != jobs_.end())
            finish_drained(found, now);
    }
    for (const auto& id : stopping) {
        const auto found = jobs_.find(id);
        if (found != jobs_.end())
            finish_stopping(found, now);
    }
    for (const auto& id : expired) {
        const auto found = jobs_.find(id);
        if (found != jobs_.end())
            finish_expired(found, now);
    }
}

void job_router::finish_expired(job_map::iterator entry, time_point now)
{
    const auto& job = entry->second;
    const bool not_run = job.state == job_state::unsent && !job.may_have_run;
    send_cancel(job, now);
    std::string_view reason = "deadline";
    if (ended_by_stop(job, now)) {
        reason = "stop_limit";
        ++(not_run ? answered_at_limit_.not_run : answered_at_limit_.lost);
    }
    else if (not_run)
        reason = job.told_retry ? "overloaded" : "no_owner";
    finish(entry, not_run ? job_answer::not_run : job_answer::lost, reason,
           job.told_retry.value_or(duration{0}), now);
}

} // namespace chivewharf::fleet
