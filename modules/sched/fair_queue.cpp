#include <sched/fair_queue.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace chivewharf::sched {

namespace {

// Bounds how far remote usage can advance a customer's tag. 10 s is the period over which shares
// are guaranteed. Without the bound, a customer that used another host for an hour would be locked
// out here.
constexpr double max_remote_lead_seconds = 10;

bool is_fraction(double value)
{
    return value >= 0 && value <= 1;
}

} // namespace

fair_queue::fair_queue(limits& shared, const job_order& order) : limits_{&shared}, order_{&order}
{
    limits_->add_observer(*this);
}

fair_queue::~fair_queue()
{
    limits_->remove_observer(*this);
}

result<void, sched_error> fair_queue::set_customer(customer_id customer, const share_policy& policy)
{
    if (!(policy.weight > 0 && std::isfinite(policy.weight)))
        return unexpected(sched_error{sched_errc::invalid_policy, "weight must be positive"});
    if (!is_fraction(policy.min_share) || !is_fraction(policy.max_share) || policy.max_share == 0)
        return unexpected(sched_error{sched_errc::invalid_policy,
                                      "shares must lie in [0, 1] and the maximum above 0"});
    auto& s = customers_.try_emplace(customer, *order_).first->second;
    update(customer, s, [&] {
        s.policy = policy;
        s.removed = false;
    });
    return {};
}

std::vector<customer_queue::removed_job> fair_queue::remove_customer(customer_id customer)
{
    auto* s = find(customer);
    if (s == nullptr)
        return {};
    std::vector<customer_queue::removed_job> jobs;
    update(customer, *s, [&] { jobs = s->jobs.clear(); });
    for (const auto& job : jobs) {
        owners_.erase(job.job);
        for (const auto& task : job.deferred)
            deferred_.erase(task);
    }
    s->removed = true;
    erase_if_drained(customer);
    end_busy_period();
    return jobs;
}

void fair_queue::set_capacity(std::uint32_t slots)
{
    if (slots == capacity_)
        return;
    capacity_ = slots;
    for (auto& [customer, s] : customers_)
        reindex(customer, s);
}

result<void, sched_error> fair_queue::enqueue(customer_id customer, job_handle job,
                                              std::vector<queued_task> tasks, time_point now)
{
    auto* s = find(customer);
    if (s == nullptr)
        return unexpected(sched_error{sched_errc::unknown_customer,
                                      "customer " + std::to_string(customer) + " is not known"});
    if (tasks.empty())
        return unexpected(sched_error{sched_errc::no_tasks, "the job has no tasks"});
    if (!owners_.try_emplace(job, customer).second)
        return unexpected(sched_error{sched_errc::duplicate_job,
                                      "job " + std::to_string(job) + " is already queued"});
    update(customer, *s, [&] { s->jobs.add(job, now, std::move(tasks)); });
    return {};
}

std::optional<task_pick> fair_queue::next(time_point now)
{
    release_due(now);
    for (auto* index : {&below_minimum_, &fair_}) {
        while (!index->empty()) {
            const auto customer = index->begin()->second;
            auto& s = customers_.at(customer);
            if (suspend_if_limited(customer, s, now))
                continue;
            const auto head = s.jobs.front();
            return task_pick{customer, head->job, head->task.index, head->task.expected,
                             head->arrived};
        }
    }
    return std::nullopt;
}

void fair_queue::started(const task_pick& pick, time_point now)
{
    auto& s = customers_.at(pick.customer);
    limits_->started(pick.customer, now);
    ++running_;
    if (s.indexed_in == index_kind::fair)
        virtual_time_ = std::max(virtual_time_, s.tag);
    update(pick.customer, s, [&] {
        ++s.running;
        s.jobs.pop_front();
        s.tag += to_seconds(pick.cost) / s.policy.weight;
    });
    max_tag_ = std::max(max_tag_, s.tag);
    if (!s.jobs.contains(pick.job))
        owners_.erase(pick.job);
}

void fair_queue::ended(customer_id customer, duration estimated, duration true_cost)
{
    const auto it = customers_.find(customer);
    if (it == customers_.end())
        return;
    advance_tag(customer, it->second, to_seconds(true_cost - estimated));
    limits_->ended(customer);
    count_end(customer, it->second);
}

bool fair_queue::put_back(const task_pick& pick, time_point not_before)
{
    const auto it = customers_.find(pick.customer);
    if (it == customers_.end())
        return false;
    auto& s = it->second;
    const bool queued = !s.removed;
    if (queued) {
        const queued_task task{pick.task, pick.cost};
        const deferred_task entry{not_before, pick.job, task};
        owners_[pick.job] = pick.customer;
        deferred_.insert(entry);
        update(pick.customer, s, [&] { s.jobs.defer(entry, pick.arrived); });
    }
    not_run(pick);
    return queued;
}

void fair_queue::not_run(const task_pick& pick)
{
    const auto it = customers_.find(pick.customer);
    if (it == customers_.end())
        return;
    advance_tag(pick.customer, it->second, -to_seconds(pick.cost));
    limits_->not_run(pick.customer);
    count_end(pick.customer, it->second);
}

std::vector<queued_task> fair_queue::remove_job(job_handle job)
{
    const auto owner = owners_.find(job);
    if (owner == owners_.end())
        return {};
    const auto customer = owner->second;
    owners_.erase(owner);
    auto& s = customers_.at(customer);
    customer_queue::removed_job removed;
    update(customer, s,
           [&] { removed = s.jobs.remove(job).value_or(customer_queue::removed_job{}); });
    for (const auto& task : removed.deferred) {
        deferred_.erase(task);
        removed.ready.push_back(task.task);
    }
    end_busy_period();
    return std::move(removed.ready);
}

void fair_queue::charge_remote(customer_id customer, double slot_seconds)
{
    auto* s = find(customer);
    // Without local work there is no competition between customers on this host.
    if (s == nullptr || (queued_tasks_ == 0 && running_ == 0))
        return;
    // Slots that an idle customer left unused before the last charge do not offset this charge.
    if (s->jobs.tasks() == 0)
        s->tag = std::max(s->tag, s->last_remote_charge);
    s->last_remote_charge = virtual_time_;
    const double competing_weight = std::max(backlogged_weight_, s->policy.weight);
    const double max_lead = max_remote_lead_seconds * capacity_ / competing_weight;
    const double max_advance = std::max(0.0, virtual_time_ + max_lead - s->tag);
    advance_tag(customer, *s, std::min(slot_seconds, max_advance * s->policy.weight));
}

std::optional<time_point> fair_queue::wake_at() const
{
    std::optional<time_point> first;
    if (!deferred_.empty())
        first = deferred_.begin()->not_before;
    if (!rate_limited_.empty())
        first = std::min(first.value_or(time_point::max()), rate_limited_.begin()->first);
    return first;
}

customer_load fair_queue::load(customer_id customer) const
{
    const auto* s = find(customer);
    if (s == nullptr)
        return {};
    const double weight = s->policy.weight;
    const double others = backlogged_weight_ - (s->jobs.tasks() > 0 ? weight : 0);
    return {s->jobs.tasks(), s->jobs.work(), s->running, weight / (weight + std::max(0.0, others)),
            s->policy.max_share};
}

bool fair_queue::has_customer(customer_id customer) const
{
    return find(customer) != nullptr;
}

void fair_queue::on_limit_change(customer_id customer)
{
    if (auto* s = find(customer); s != nullptr)
        reindex(customer, *s);
}

fair_queue::state* fair_queue::find(customer_id customer)
{
    const auto it = customers_.find(customer);
    return it == customers_.end() || it->second.removed ? nullptr : &it->second;
}

const fair_queue::state* fair_queue::find(customer_id customer) const
{
    const auto it = customers_.find(customer);
    return it == customers_.end() || it->second.removed ? nullptr : &it->second;
}

void fair_queue::remove_from_index(customer_id customer, state& s)
{
    if (auto* index = index_of(s.indexed_in); index != nullptr)
        index->erase({s.tag, customer});
    if (s.indexed_in == index_kind::rate_limited)
        rate_limited_.erase({s.blocked_until, customer});
    s.indexed_in = index_kind::none;
}

void fair_queue::add_to_index(customer_id customer, state& s)
{
    if (!s.jobs.has_ready())
        return;
    if (s.running >= max_slots(s)) {
        s.indexed_in = index_kind::at_limit;
        return;
    }
    s.indexed_in = s.running < min_slots(s) ? index_kind::below_minimum : index_kind::fair;
    index_of(s.indexed_in)->emplace(s.tag, customer);
}

void fair_queue::reindex(customer_id customer, state& s)
{
    update(customer, s, [] {});
}

void fair_queue::advance_tag(customer_id customer, state& s, double slot_seconds)
{
    update(customer, s, [&] { s.tag += slot_seconds / s.policy.weight; });
    max_tag_ = std::max(max_tag_, s.tag);
}

template <class Change>
void fair_queue::update(customer_id customer, state& s, Change change)
{
    const bool was_competing = index_of(s.indexed_in) != nullptr;
    if (s.jobs.tasks() > 0)
        backlogged_weight_ -= s.policy.weight;
    queued_tasks_ -= s.jobs.tasks();
    queued_work_ -= s.jobs.work();
    remove_from_index(customer, s);
    change();
    // A customer that was idle or held back gets no credit for the slots that it left unused.
    if (!was_competing && s.jobs.has_ready() && s.running < max_slots(s))
        s.tag = std::max(s.tag, virtual_time_);
    add_to_index(customer, s);
    queued_tasks_ += s.jobs.tasks();
    queued_work_ += s.jobs.work();
    if (s.jobs.tasks() > 0)
        backlogged_weight_ += s.policy.weight;
}

void fair_queue::release_due(time_point now)
{
    while (!deferred_.empty() && deferred_.begin()->not_before <= now) {
        const auto task = deferred_.extract(deferred_.begin()).value();
        const auto customer = owners_.at(task.job);
        auto& s = customers_.at(customer);
        update(customer, s, [&] { s.jobs.release(task); });
    }
    while (!rate_limited_.empty() && rate_limited_.begin()->first <= now) {
        const auto customer = rate_limited_.begin()->second;
        reindex(customer, customers_.at(customer));
    }
}

bool fair_queue::suspend_if_limited(customer_id customer, state& s, time_point now)
{
    const auto verdict = limits_->check(customer, now);
    if (verdict.why == reason::none)
        return false;
    remove_from_index(customer, s);
    s.indexed_in = index_kind::at_limit;
    if (verdict.why == reason::rate_limited) {
        s.indexed_in = index_kind::rate_limited;
        s.blocked_until = verdict.at;
        rate_limited_.emplace(verdict.at, customer);
    }
    return true;
}

void fair_queue::count_end(customer_id customer, state& s)
{
    --running_;
    update(customer, s, [&] { --s.running; });
    erase_if_drained(customer);
    end_busy_period();
}

void fair_queue::erase_if_drained(customer_id customer)
{
    const auto it = customers_.find(customer);
    if (it->second.removed && it->second.running == 0)
        customers_.erase(it);
}

void fair_queue::end_busy_period()
{
    if (queued_tasks_ > 0)
        return;
    backlogged_weight_ = 0; // clears accumulated rounding errors
    if (running_ == 0)
        virtual_time_ = std::max(virtual_time_, max_tag_);
}

std::uint32_t fair_queue::max_slots(const state& s) const
{
    if (s.policy.max_share >= 1)
        return std::numeric_limits<std::uint32_t>::max();
    const double slots = std::floor(s.policy.max_share * capacity_ + 1e-9);
    return std::max(1U, static_cast<std::uint32_t>(slots));
}

double fair_queue::min_slots(const state& s) const
{
    return s.policy.min_share * capacity_;
}

fair_queue::tag_index* fair_queue::index_of(index_kind kind)
{
    if (kind == index_kind::fair)
        return &fair_;
    return kind == index_kind::below_minimum ? &below_minimum_ : nullptr;
}

} // namespace chivewharf::sched
