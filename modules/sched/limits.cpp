#include <sched/limits.h>

#include <algorithm>
#include <cmath>

namespace chivewharf::sched {

namespace {

// A start needs one token. The tolerance prevents rounding errors of the refill from delaying a
// start that is due.
constexpr double min_tokens_to_start = 1.0 - 1e-9;

double rate_fraction(const std::optional<double>& share, std::uint32_t live_hosts)
{
    return share.value_or(1.0 / live_hosts);
}

} // namespace

result<void, sched_error> limits::set_customer(customer_id customer, const limit_policy& policy,
                                               time_point now)
{
    if (policy.rate && !(*policy.rate > 0 && std::isfinite(*policy.rate)))
        return unexpected(sched_error{sched_errc::invalid_policy, "rate must be positive"});
    if (!(policy.burst >= 1 && std::isfinite(policy.burst)))
        return unexpected(sched_error{sched_errc::invalid_policy, "burst must be at least 1"});
    auto& s = states_[customer];
    const bool had_rate = s.policy.rate.has_value();
    refill(s, now);
    s.policy = policy;
    s.removed = false;
    s.refilled = now;
    if (!had_rate)
        s.tokens = policy.burst;
    s.tokens = tokens_at(s, now);
    notify_observers(customer);
    return {};
}

void limits::remove_customer(customer_id customer)
{
    const auto it = states_.find(customer);
    if (it == states_.end())
        return;
    it->second.policy = {};
    it->second.removed = true;
    if (it->second.running == 0)
        states_.erase(it);
    notify_observers(customer);
}

void limits::set_live_entry_hosts(std::uint32_t hosts)
{
    live_hosts_ = std::max(hosts, 1U);
    for (const auto& [customer, s] : states_)
        notify_observers(customer);
}

void limits::set_remote_running(customer_id customer, std::uint32_t n)
{
    const auto it = states_.find(customer);
    if (it == states_.end())
        return;
    auto& s = it->second;
    const bool was_below_limit = is_below_concurrency_limit(s);
    s.remote_running = n;
    if (!was_below_limit && is_below_concurrency_limit(s))
        notify_observers(customer);
}

void limits::set_rate_share(customer_id customer, double share, time_point now)
{
    const auto it = states_.find(customer);
    if (it == states_.end())
        return;
    auto& s = it->second;
    refill(s, now);
    s.rate_share = std::clamp(share, 1e-6, 1.0);
    notify_observers(customer);
}

limit_verdict limits::check(customer_id customer, time_point now) const
{
    const auto* s = find(customer);
    if (s == nullptr)
        return {};
    if (!is_below_concurrency_limit(*s))
        return {reason::concurrency_limited, {}};
    if (!s->policy.rate)
        return {};
    const double tokens = tokens_at(*s, now);
    if (tokens >= min_tokens_to_start)
        return {};
    return {reason::rate_limited, now + from_seconds((1 - tokens) / rate_of(*s)) + duration{1}};
}

void limits::started(customer_id customer, time_point now)
{
    auto& s = states_[customer];
    ++s.running;
    if (!s.policy.rate)
        return;
    refill(s, now);
    s.tokens -= 1;
}

void limits::ended(customer_id customer)
{
    release(customer, false);
}

void limits::not_run(customer_id customer)
{
    release(customer, true);
}

std::uint32_t limits::running(customer_id customer) const
{
    const auto* s = find(customer);
    return s == nullptr ? 0 : s->running;
}

std::optional<std::uint32_t> limits::local_concurrency(customer_id customer) const
{
    const auto* s = find(customer);
    return s == nullptr ? std::nullopt : concurrency_of(*s);
}

std::optional<double> limits::local_rate(customer_id customer) const
{
    const auto* s = find(customer);
    if (s == nullptr || !s->policy.rate)
        return std::nullopt;
    return rate_of(*s);
}

void limits::add_observer(limit_observer& observer)
{
    observers_.push_back(&observer);
}

void limits::remove_observer(limit_observer& observer)
{
    std::erase(observers_, &observer);
}

const limits::state* limits::find(customer_id customer) const
{
    const auto it = states_.find(customer);
    return it == states_.end() ? nullptr : &it->second;
}

double limits::rate_of(const state& s) const
{
    return *s.policy.rate * rate_fraction(s.rate_share, live_hosts_);
}

double limits::tokens_at(const state& s, time_point now) const
{
    if (!s.policy.rate)
        return s.tokens;
    const double burst = std::max(1.0, s.policy.burst * rate_fraction(s.rate_share, live_hosts_));
    const double elapsed_seconds = std::max(0.0, to_seconds(now - s.refilled));
    return std::min(burst, s.tokens + elapsed_seconds * rate_of(s));
}

void limits::refill(state& s, time_point now) const
{
    s.tokens = tokens_at(s, now);
    s.refilled = std::max(s.refilled, now);
}

std::optional<std::uint32_t> limits::concurrency_of(const state& s) const
{
    if (!s.policy.concurrency)
        return std::nullopt;
    const auto limit = *s.policy.concurrency;
    const auto guaranteed = limit / live_hosts_;
    // Without usage averages, a limit below the number of hosts would otherwise round down to 0 on
    // every host, and no task could start.
    if (!s.remote_running)
        return std::max(guaranteed, std::min(limit, 1U));
    return std::max(guaranteed, limit - std::min(limit, *s.remote_running));
}

bool limits::is_below_concurrency_limit(const state& s) const
{
    const auto limit = concurrency_of(s);
    return !limit || s.running < *limit;
}

void limits::release(customer_id customer, bool refund)
{
    const auto it = states_.find(customer);
    if (it == states_.end() || it->second.running == 0)
        return;
    auto& s = it->second;
    const bool was_below_limit = is_below_concurrency_limit(s);
    --s.running;
    if (refund && s.policy.rate)
        s.tokens += 1;
    const bool may_start_again = refund || (!was_below_limit && is_below_concurrency_limit(s));
    if (s.removed && s.running == 0)
        states_.erase(it);
    if (may_start_again)
        notify_observers(customer);
}

void limits::notify_observers(customer_id customer)
{
    for (auto* observer : observers_)
        observer->on_limit_change(customer);
}

} // namespace chivewharf::sched
