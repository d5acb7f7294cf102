#include <fleet/worker_session.h>

#include <base/log_line.h>
#include <set>
#include <utility>
#include <vector>

namespace chivewharf::fleet {

namespace {

/// Maximum time that a worker delays the reply to a status poll, so that leases are renewed well
/// before they expire.
constexpr duration long_poll_wait = milliseconds{250};
/// Interval of status polls to a worker without tasks, which keep the reading of its clock recent.
constexpr duration idle_poll_interval = seconds{5};
constexpr duration poll_retry_interval = milliseconds{50};
constexpr duration stop_retry_interval = milliseconds{200};

} // namespace

worker_session::worker_session(worker_entry entry, worker_port& port, session_observer& observer,
                               outstanding_runs& runs)
    : entry_{std::move(entry)}, port_{port}, observer_{observer}, runs_{runs}
{
}

void worker_session::close()
{
    if (std::exchange(closed_, true))
        return;
    for (const auto& [name, task] : tasks_)
        runs_.remove(name, entry_.id, task.run);
    set_inherited_runs({});
}

void worker_session::update(const worker_entry& entry, time_point now)
{
    const bool new_incarnation =
        entry.incarnation != 0 && incarnation_ != 0 && entry.incarnation > incarnation_;
    entry_ = entry;
    if (!new_incarnation)
        return;
    // Tasks may have been started in either incarnation: the next status poll tells which of them
    // run.
    log_line{"worker_restarted"}.add("worker", entry_.id).add("life", entry.incarnation).write();
    if (phase_ == phase::owned)
        acquire(token_, now);
    observer_.availability_changed(now);
}

void worker_session::acquire(std::uint64_t token, time_point now)
{
    token_ = token;
    phase_ = phase::acquiring;
    next_poll_ = now;
    tick(now);
}

bool worker_session::usable() const noexcept
{
    return phase_ == phase::owned && misses_ == 0 && inherited_runs_.empty() && !entry_.leaving &&
           clock_.known() && entry_is_current();
}

bool worker_session::takeover_complete() const noexcept
{
    // A missing reply proves nothing: an earlier owner may reach a worker that this one cannot
    // reach.
    return phase_ == phase::owned && inherited_runs_.empty();
}

resources worker_session::free() const noexcept
{
    resources left = entry_.capacity;
    left -= used_;
    return left;
}

std::int64_t worker_session::expiry(time_point now)
{
    const auto expires = clock_.estimate(now) + to_ms(lease);
    last_expiry_ms_ = std::max(last_expiry_ms_, expires);
    return expires;
}

void worker_session::start(const std::string& task, std::uint32_t run, const resources& demand,
                           const std::string& payload, const std::string& saved, time_point now)
{
    const bool unconfirmed = tasks_.empty() && now - last_reply_at_ > max_unconfirmed;
    const bool hold = unconfirmed || !held_starts_.empty();
    tracked_task tracked;
    tracked.task = task;
    tracked.run = run;
    tracked.demand = demand;
    tracked.ordered_at = now;
    tracked.incarnation = incarnation_;
    used_ += demand;
    runs_.add(task, entry_.id, run);
    auto& added = tasks_.insert_or_assign(task, std::move(tracked)).first->second;
    const held_start order{task, run, payload, saved};
    if (!hold) {
        send_start(order, added);
        tick(now);
        return;
    }
    held_starts_.push_back(order);
    if (!unconfirmed)
        return;
    if (poll_in_flight_)
        send_poll(now, duration{0});
    else
        poll(now);
}

void worker_session::send_start(const held_start& start, tracked_task& tracked)
{
    // The wait for a confirmation does not prolong the order: after a pause of the process, its
    // requesters may have sent the job elsewhere.
    tracked.expires_at_ms = expiry(tracked.ordered_at);
    port_.start({address(), token_, start.task, start.run, start.payload, start.saved,
                 tracked.expires_at_ms},
                [self = shared_from_this(), task = start.task, run = start.run](
                    const order_reply& reply) { self->on_start_reply(task, run, reply); });
}

void worker_session::release_held_starts(time_point now)
{
    for (const auto& held : std::exchange(held_starts_, {})) {
        const auto found = tasks_.find(held.task);
        if (found == tasks_.end() || found->second.run != held.run)
            continue;
        if (found->second.stop_ordered)
            end_task(found, task_end::stopped, {}, now);
        else
            send_start(held, found->second);
    }
}

void worker_session::reject_held_starts(order_outcome reason, time_point now)
{
    for (const auto& held : std::exchange(held_starts_, {})) {
        const auto found = tasks_.find(held.task);
        if (found != tasks_.end() && found->second.run == held.run)
            reject_start(found, reason, now);
    }
}

void worker_session::on_start_reply(const std::string& task, std::uint32_t run,
                                    const order_reply& reply)
{
    if (closed_)
        return;
    const auto now = reply.received;
    if (reply.clock_ms)
        clock_.observe(*reply.clock_ms, now);
    const auto found = tasks_.find(task);
    const bool known = found != tasks_.end() && found->second.run == run;
    if (reply.outcome != order_outcome::unanswered && reply.outcome != order_outcome::not_sent)
        last_reply_at_ = std::max(last_reply_at_, now);
    if (reply.outcome == order_outcome::accepted) {
        if (known && found->second.accepted_at == time_point{})
            found->second.accepted_at = now;
        return;
    }
    if (reply.outcome == order_outcome::unanswered) {
        if (!known || found->second.accepted_at != time_point{})
            return;
        // A lost order does not count as a miss if the worker has answered others since.
        if (last_reply_at_ < found->second.ordered_at)
            record_miss(now);
        found->second.unanswered = true;
        send_stop(found->second, now);
        return;
    }
    if (known)
        reject_start(found, reply.outcome, now);
    if (reply.outcome == order_outcome::fenced)
        on_fenced(now);
    else if (reply.outcome == order_outcome::other_incarnation)
        acquire(token_, now);
    observer_.availability_changed(now);
}

void worker_session::stop(const std::string& task, time_point now)
{
    const auto found = tasks_.find(task);
    if (found == tasks_.end() || found->second.stop_ordered)
        return;
    send_stop(found->second, now);
}

void worker_session::send_stop(tracked_task& task, time_point now)
{
    task.stop_ordered = true;
    task.stop_sent_at = now;
    port_.stop({address(), token_, task.task, task.run},
               [self = shared_from_this(), name = task.task, run = task.run](
                   const order_reply& reply) { self->on_stop_reply(name, run, reply); });
}

void worker_session::on_stop_reply(const std::string& task, std::uint32_t run,
                                   const order_reply& reply)
{
    if (closed_)
        return;
    if (reply.clock_ms)
        clock_.observe(*reply.clock_ms, reply.received);
    if (reply.outcome == order_outcome::fenced) {
        on_fenced(reply.received);
        return;
    }
    const auto found = tasks_.find(task);
    if (found == tasks_.end() || found->second.run != run)
        return;
    if (reply.outcome != order_outcome::accepted || found->second.stop_accepted_at != time_point{})
        return;
    found->second.stop_accepted_at = reply.received;
    last_reply_at_ = std::max(last_reply_at_, reply.received);
    // A stop of a run that the worker never had does not end the current long poll, so poll at once
    // to free the resources of the run.
    if (found->second.accepted_at == time_point{})
        send_poll(reply.received, duration{0});
}

void worker_session::stop_inherited_run(const std::string& task, std::uint32_t run, time_point now)
{
    inherited_stop_sent_at_ = now;
    port_.stop({address(), token_, task, run},
               [self = shared_from_this()](const order_reply& reply) {
                   if (!self->closed_ && reply.outcome == order_outcome::fenced)
                       self->on_fenced(reply.received);
               });
}

void worker_session::set_inherited_runs(std::map<std::string, std::uint32_t> inherited)
{
    for (const auto& [task, run] : inherited_runs_)
        runs_.remove(task, entry_.id, run);
    inherited_runs_ = std::move(inherited);
    for (const auto& [task, run] : inherited_runs_)
        runs_.add(task, entry_.id, run);
}

bool worker_session::poll_due(time_point now) const noexcept
{
    if (poll_in_flight_ || closed_ || now < next_poll_)
        return false;
    if (phase_ == phase::acquiring)
        return true;
    if (phase_ != phase::owned)
        return false;
    return !tasks_.empty() || !inherited_runs_.empty() || misses_ > 0 ||
           now - last_reply_at_ >= idle_poll_interval;
}

void worker_session::poll(time_point now)
{
    poll_in_flight_ = true;
    const bool waits =
        phase_ == phase::owned && misses_ == 0 && !tasks_.empty() && held_starts_.empty();
    send_poll(now, waits ? long_poll_wait : duration{0});
}

void worker_session::send_poll(time_point now, duration wait)
{
    const auto number = ++polls_sent_;
    if (poll_in_flight_ && regular_poll_ == 0)
        regular_poll_ = number;
    status_request order{address(), token_, acknowledged_end_, {}, wait};
    if (phase_ == phase::owned && clock_.known() && !tasks_.empty())
        order.expires_at_ms = expiry(now);
    port_.poll_status(std::move(order),
                      [self = shared_from_this(), now, number](const status_reply& reply) {
                          if (self->regular_poll_ == number) {
                              self->poll_in_flight_ = false;
                              self->regular_poll_ = 0;
                          }
                          if (!self->closed_)
                              self->on_status_reply(reply, now);
                      });
}

void worker_session::on_status_reply(const status_reply& reply, time_point sent)
{
    const auto now = reply.received;
    if (reply.outcome == order_outcome::fenced) {
        on_fenced(now);
        return;
    }
    if (reply.outcome != order_outcome::accepted) {
        reject_held_starts(order_outcome::not_sent, now);
        record_miss(now);
        next_poll_ = now + poll_retry_interval;
        tick(now);
        return;
    }
    const bool new_incarnation = incarnation_ != 0 && reply.incarnation != incarnation_;
    if (new_incarnation) {
        log_line{"worker_restarted"}
            .add("worker", entry_.id)
            .add("life", reply.incarnation)
            .add("listed_life", entry_.incarnation)
            .write();
        clock_.reset();
        acknowledged_end_ = 0;
        last_expiry_ms_ = reply.clock_ms + to_ms(max_lease);
    }
    incarnation_ = reply.incarnation;
    clock_.observe(reply.clock_ms, now);
    if (misses_ > 0)
        log_line{"worker_answers"}.add("worker", entry_.id).add("misses", misses_).write();
    misses_ = 0;
    last_reply_at_ = std::max(last_reply_at_, now);
    next_poll_ = now;
    if (phase_ == phase::acquiring)
        phase_ = phase::owned;
    process_ended(reply);
    process_running(reply, sent);
    if (new_incarnation || !usable())
        reject_held_starts(order_outcome::other_incarnation, now);
    else
        release_held_starts(now);
    observer_.availability_changed(now);
    tick(now);
}

void worker_session::process_ended(const status_reply& reply)
{
    for (const auto& ended : reply.ended) {
        if (ended.number <= acknowledged_end_)
            continue;
        acknowledged_end_ = ended.number;
        const auto found = tasks_.find(ended.task);
        if (found != tasks_.end() && found->second.run == ended.run)
            end_task(found, ended.end, ended.saved, reply.received);
    }
}

void worker_session::process_running(const status_reply& reply, time_point sent)
{
    const auto now = reply.received;
    std::map<std::string, std::uint32_t> inherited;
    std::set<std::string> listed;
    for (const auto& running : reply.running) {
        const auto found = tasks_.find(running.task);
        if (found == tasks_.end() || found->second.run != running.run) {
            inherited.emplace(running.task, running.run);
            continue;
        }
        listed.insert(running.task);
        if (running.percent > found->second.percent)
            found->second.percent_risen_at = now;
        found->second.percent = running.percent;
        found->second.percent_at = now;
        if (found->second.accepted_at == time_point{})
            found->second.accepted_at = now;
    }
    for (const auto& [task, run] : inherited) {
        if (!inherited_runs_.contains(task)) {
            log_line{"foreign_task"}.add("worker", entry_.id).add("task", task).write();
            stop_inherited_run(task, run, now);
        }
    }
    set_inherited_runs(std::move(inherited));
    // The token of the poll keeps their owner from renewing the lease.
    if (!inherited_runs_.empty())
        last_expiry_ms_ = std::max(last_expiry_ms_, reply.clock_ms + to_ms(max_lease));
    if (reply.more_ends)
        return;
    std::vector<std::string> gone;
    for (const auto& [name, task] : tasks_) {
        if (listed.contains(name))
            continue;
        const bool was_running = task.accepted_at != time_point{} && task.accepted_at <= sent;
        // An expiry by the clock of an earlier incarnation has no meaning in this one.
        const bool cannot_start =
            (task.incarnation == incarnation_ && reply.clock_ms > task.expires_at_ms) ||
            (task.stop_accepted_at != time_point{} && task.stop_accepted_at <= sent);
        if (was_running || (task.accepted_at == time_point{} && task.unanswered && cannot_start))
            gone.push_back(name);
    }
    for (const auto& name : gone)
        end_task(tasks_.find(name), task_end::lapsed, {}, now);
}

tracked_task worker_session::remove_task(std::map<std::string, tracked_task>::iterator where)
{
    auto tracked = std::move(where->second);
    tasks_.erase(where);
    used_ -= tracked.demand;
    runs_.remove(tracked.task, entry_.id, tracked.run);
    return tracked;
}

void worker_session::reject_start(std::map<std::string, tracked_task>::iterator where,
                                  order_outcome reason, time_point now)
{
    const auto tracked = remove_task(where);
    observer_.start_rejected(*this, tracked, reason, now);
}

void worker_session::end_task(std::map<std::string, tracked_task>::iterator where, task_end reason,
                              const std::string& saved, time_point now)
{
    const auto tracked = remove_task(where);
    observer_.task_ended(*this, tracked, reason, saved, now);
}

void worker_session::end_all_tasks(task_end reason, time_point now)
{
    while (!tasks_.empty())
        end_task(tasks_.begin(), reason, {}, now);
}

void worker_session::record_miss(time_point now)
{
    if (misses_++ == 0)
        log_line{"worker_silent"}
            .add("worker", entry_.id)
            .add("tasks", std::uint64_t{tasks_.size()})
            .add("silent_ms", to_ms(now - last_reply_at_))
            .write();
    observer_.availability_changed(now);
}

void worker_session::on_fenced(time_point now)
{
    if (phase_ == phase::fenced || phase_ == phase::unowned)
        return;
    phase_ = phase::fenced;
    log_line{"fenced"}.add("worker", entry_.id).add("token", token_).write();
    reject_held_starts(order_outcome::fenced, now);
    observer_.fenced(*this, now);
}

void worker_session::tick(time_point now)
{
    if (closed_ || phase_ == phase::unowned)
        return;
    // Without contact, all runs have ended once the worker's clock has passed the end of the last
    // lease.
    if (misses_ > 0 && !idle() && clock_.known() && now > clock_.certainly_past(last_expiry_ms_)) {
        log_line{"lease_over"}
            .add("worker", entry_.id)
            .add("tasks", std::uint64_t{tasks_.size()})
            .add("inherited", std::uint64_t{inherited_runs_.size()})
            .write();
        set_inherited_runs({});
        end_all_tasks(task_end::lapsed, now);
        if (phase_ == phase::owned)
            phase_ = phase::acquiring;
        observer_.availability_changed(now);
    }
    for (auto& [name, task] : tasks_) {
        if (task.stop_ordered && task.stop_accepted_at == time_point{} &&
            now - task.stop_sent_at >= stop_retry_interval)
            send_stop(task, now);
    }
    if (!inherited_runs_.empty() && now - inherited_stop_sent_at_ >= stop_retry_interval) {
        for (const auto& [task, run] : inherited_runs_)
            stop_inherited_run(task, run, now);
    }
    if (poll_due(now))
        poll(now);
}

} // namespace chivewharf::fleet
