#include <fleet/worker_session.h>

#include <base/log_line.h>
#include <set>
#include <utility>
#include <vector>

namespace chivewharf::fleet {

namespace {

/// A worker answers a look after this time at the latest, so that leases are renewed well before
/// they are over.
constexpr duration look_wait = milliseconds{250};
/// A worker without tasks is looked at this often, which keeps the reading of its clock fresh.
constexpr duration idle_look = seconds{5};
constexpr duration look_retry = milliseconds{50};
constexpr duration stop_retry = milliseconds{200};

} // namespace

worker_session::worker_session(worker_entry entry, worker_port& port, session_observer& observer)
    : entry_{std::move(entry)}, port_{port}, observer_{observer}
{
}

void worker_session::update(const worker_entry& entry, time_point now)
{
    const bool new_incarnation =
        entry.incarnation != 0 && incarnation_ != 0 && entry.incarnation > incarnation_;
    entry_ = entry;
    if (!new_incarnation)
        return;
    // Tasks may have been started in either incarnation: the next look tells which are there.
    log_line{"worker_restarted"}.add("worker", entry_.id).add("life", entry.incarnation).write();
    if (phase_ == phase::owned)
        take(token_, now);
    observer_.changed(now);
}

void worker_session::take(std::uint64_t token, time_point now)
{
    token_ = token;
    phase_ = phase::taking;
    next_look_ = now;
    tick(now);
}

bool worker_session::usable() const noexcept
{
    return phase_ == phase::owned && misses_ == 0 && foreign_.empty() && !entry_.leaving &&
           clock_.known();
}

bool worker_session::swept() const noexcept
{
    // Silence proves nothing: an earlier owner may reach a worker that this one cannot reach.
    return phase_ == phase::owned && foreign_.empty();
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
    const auto expires = expiry(now);
    held_task held;
    held.task = task;
    held.run = run;
    held.demand = demand;
    held.ordered = now;
    held.expires_at_ms = expires;
    held.incarnation = incarnation_;
    used_ += demand;
    tasks_.insert_or_assign(task, std::move(held));
    port_.start({address(), token_, task, run, payload, saved, expires},
                [self = shared_from_this(), task, run](const order_reply& reply) {
                    self->start_answered(task, run, reply);
                });
    tick(now);
}

void worker_session::start_answered(const std::string& task, std::uint32_t run,
                                    const order_reply& reply)
{
    if (closed_)
        return;
    const auto now = reply.received;
    if (reply.clock_ms)
        clock_.observe(*reply.clock_ms, now);
    const auto found = tasks_.find(task);
    const bool known = found != tasks_.end() && found->second.run == run;
    if (reply.outcome != order_outcome::unanswered)
        answered_at_ = std::max(answered_at_, now);
    if (reply.outcome == order_outcome::accepted) {
        if (known && found->second.accepted == time_point{})
            found->second.accepted = now;
        return;
    }
    if (reply.outcome == order_outcome::unanswered) {
        if (!known || found->second.accepted != time_point{})
            return;
        // One lost order does not make a worker silent that has answered others since.
        if (answered_at_ < found->second.ordered)
            miss(now);
        found->second.unanswered = true;
        send_stop(found->second, now);
        return;
    }
    if (known) {
        const auto held = found->second;
        used_ -= held.demand;
        tasks_.erase(found);
        observer_.start_rejected(*this, held, reply.outcome, now);
    }
    if (reply.outcome == order_outcome::fenced)
        lose_token(now);
    else if (reply.outcome == order_outcome::other_incarnation)
        take(token_, now);
    observer_.changed(now);
}

void worker_session::stop(const std::string& task, time_point now)
{
    const auto found = tasks_.find(task);
    if (found == tasks_.end() || found->second.stopping)
        return;
    send_stop(found->second, now);
}

void worker_session::send_stop(held_task& task, time_point now)
{
    task.stopping = true;
    task.stop_sent = now;
    port_.stop({address(), token_, task.task, task.run},
               [self = shared_from_this(), name = task.task, run = task.run](
                   const order_reply& reply) { self->stop_answered(name, run, reply); });
}

void worker_session::stop_answered(const std::string& task, std::uint32_t run,
                                   const order_reply& reply)
{
    if (closed_)
        return;
    if (reply.clock_ms)
        clock_.observe(*reply.clock_ms, reply.received);
    if (reply.outcome == order_outcome::fenced) {
        lose_token(reply.received);
        return;
    }
    const auto found = tasks_.find(task);
    if (found == tasks_.end() || found->second.run != run)
        return;
    if (reply.outcome != order_outcome::accepted || found->second.stop_accepted != time_point{})
        return;
    found->second.stop_accepted = reply.received;
    answered_at_ = std::max(answered_at_, reply.received);
    // A run that was never there ends no waiting look, so its room is asked for at once.
    if (found->second.accepted == time_point{})
        send_look(reply.received, duration{0});
}

void worker_session::send_foreign_stop(const std::string& task, std::uint32_t run, time_point now)
{
    foreign_stop_ = now;
    port_.stop({address(), token_, task, run},
               [self = shared_from_this()](const order_reply& reply) {
                   if (!self->closed_ && reply.outcome == order_outcome::fenced)
                       self->lose_token(reply.received);
               });
}

bool worker_session::look_due(time_point now) const noexcept
{
    if (looking_ || closed_ || now < next_look_)
        return false;
    if (phase_ == phase::taking)
        return true;
    if (phase_ != phase::owned)
        return false;
    return !tasks_.empty() || !foreign_.empty() || misses_ > 0 || now - answered_at_ >= idle_look;
}

void worker_session::look(time_point now)
{
    looking_ = true;
    const bool waits = phase_ == phase::owned && misses_ == 0 && !tasks_.empty();
    send_look(now, waits ? look_wait : duration{0});
}

void worker_session::send_look(time_point now, duration wait)
{
    const auto number = ++looks_;
    if (looking_ && last_look_ == 0)
        last_look_ = number;
    status_request order{address(), token_, seen_end_, {}, wait};
    if (phase_ == phase::owned && clock_.known() && !tasks_.empty())
        order.expires_at_ms = expiry(now);
    port_.poll_status(std::move(order),
                      [self = shared_from_this(), now, number](const status_reply& reply) {
                          if (self->last_look_ == number) {
                              self->looking_ = false;
                              self->last_look_ = 0;
                          }
                          if (!self->closed_)
                              self->look_answered(reply, now);
                      });
}

void worker_session::look_answered(const status_reply& reply, time_point sent)
{
    const auto now = reply.received;
    if (reply.outcome == order_outcome::fenced) {
        lose_token(now);
        return;
    }
    if (reply.outcome != order_outcome::accepted) {
        miss(now);
        next_look_ = now + look_retry;
        tick(now);
        return;
    }
    const bool new_incarnation = incarnation_ != 0 && reply.incarnation != incarnation_;
    if (new_incarnation) {
        clock_.reset();
        seen_end_ = 0;
        last_expiry_ms_ = reply.clock_ms + to_ms(longest_lease);
    }
    incarnation_ = reply.incarnation;
    clock_.observe(reply.clock_ms, now);
    if (misses_ > 0)
        log_line{"worker_answers"}.add("worker", entry_.id).add("misses", misses_).write();
    misses_ = 0;
    answered_at_ = std::max(answered_at_, now);
    next_look_ = now;
    if (phase_ == phase::taking)
        phase_ = phase::owned;
    take_note_of_ends(reply);
    take_note_of_running(reply, sent);
    observer_.changed(now);
    tick(now);
}

void worker_session::take_note_of_ends(const status_reply& reply)
{
    for (const auto& ended : reply.ended) {
        if (ended.number <= seen_end_)
            continue;
        seen_end_ = ended.number;
        const auto found = tasks_.find(ended.task);
        if (found != tasks_.end() && found->second.run == ended.run)
            end(found, ended.end, ended.saved, reply.received);
    }
}

void worker_session::take_note_of_running(const status_reply& reply, time_point sent)
{
    const auto now = reply.received;
    std::map<std::string, std::uint32_t> foreign;
    std::set<std::string> listed;
    for (const auto& running : reply.running) {
        const auto found = tasks_.find(running.task);
        if (found == tasks_.end() || found->second.run != running.run) {
            foreign.emplace(running.task, running.run);
            continue;
        }
        listed.insert(running.task);
        found->second.percent = running.percent;
        found->second.percent_at = now;
        if (found->second.accepted == time_point{})
            found->second.accepted = now;
    }
    for (const auto& [task, run] : foreign) {
        if (!foreign_.contains(task)) {
            log_line{"foreign_task"}.add("worker", entry_.id).add("task", task).write();
            send_foreign_stop(task, run, now);
        }
    }
    foreign_ = std::move(foreign);
    if (reply.more_ends)
        return;
    std::vector<std::string> gone;
    for (const auto& [name, task] : tasks_) {
        if (listed.contains(name))
            continue;
        const bool was_there = task.accepted != time_point{} && task.accepted <= sent;
        // An expiry by the clock of a former incarnation says nothing in this one.
        const bool never_comes =
            (task.incarnation == incarnation_ && reply.clock_ms > task.expires_at_ms) ||
            (task.stop_accepted != time_point{} && task.stop_accepted <= sent);
        if (was_there || (task.accepted == time_point{} && task.unanswered && never_comes))
            gone.push_back(name);
    }
    for (const auto& name : gone)
        end(tasks_.find(name), task_end::lapsed, {}, now);
}

void worker_session::end(std::map<std::string, held_task>::iterator where, task_end how,
                         const std::string& saved, time_point now)
{
    const auto held = where->second;
    used_ -= held.demand;
    tasks_.erase(where);
    observer_.task_ended(*this, held, how, saved, now);
}

void worker_session::end_all(task_end how, time_point now)
{
    while (!tasks_.empty())
        end(tasks_.begin(), how, {}, now);
}

void worker_session::miss(time_point now)
{
    if (misses_++ == 0)
        log_line{"worker_silent"}
            .add("worker", entry_.id)
            .add("tasks", std::uint64_t{tasks_.size()})
            .add("silent_ms", to_ms(now - answered_at_))
            .write();
    observer_.changed(now);
}

void worker_session::lose_token(time_point now)
{
    if (phase_ == phase::fenced || phase_ == phase::unowned)
        return;
    phase_ = phase::fenced;
    log_line{"fenced"}.add("worker", entry_.id).add("token", token_).write();
    observer_.fenced(*this, now);
}

void worker_session::tick(time_point now)
{
    if (closed_ || phase_ == phase::unowned)
        return;
    // Without contact, everything ends when the worker's clock passes the last lease.
    if (misses_ > 0 && !tasks_.empty() && clock_.known() &&
        now > clock_.certainly_past(last_expiry_ms_)) {
        log_line{"lease_over"}
            .add("worker", entry_.id)
            .add("tasks", std::uint64_t{tasks_.size()})
            .write();
        foreign_.clear();
        end_all(task_end::lapsed, now);
        if (phase_ == phase::owned)
            phase_ = phase::taking;
        observer_.changed(now);
    }
    for (auto& [name, task] : tasks_) {
        if (task.stopping && task.stop_accepted == time_point{} &&
            now - task.stop_sent >= stop_retry)
            send_stop(task, now);
    }
    if (!foreign_.empty() && now - foreign_stop_ >= stop_retry) {
        for (const auto& [task, run] : foreign_)
            send_foreign_stop(task, run, now);
    }
    if (look_due(now))
        look(now);
}

} // namespace chivewharf::fleet
