#include <upstream/worker_pool.h>

#include <algorithm>
#include <cmath>

namespace chivewharf::upstream {

namespace {

std::optional<upstream_error> validate(const worker_config& config)
{
    if (config.name.empty())
        return upstream_error{upstream_errc::empty_name, "a worker has no name"};
    if (config.slots == 0)
        return upstream_error{upstream_errc::no_slots,
                              "worker \"" + config.name + "\" has no slots"};
    if (config.connections == 0)
        return upstream_error{upstream_errc::no_connections,
                              "worker \"" + config.name + "\" has no connections"};
    return std::nullopt;
}

upstream_error unknown_worker_error(std::string_view name)
{
    return {upstream_errc::unknown_worker, "no worker is named \"" + std::string{name} + '"'};
}

void add(pool_capacity& to, const pool_capacity& c)
{
    to.total += c.total;
    to.free += c.free;
    to.total_slots += c.total_slots;
    to.free_slots += c.free_slots;
    to.workers += c.workers;
    to.ejected += c.ejected;
}

void subtract(pool_capacity& from, const pool_capacity& c)
{
    from.total -= c.total;
    from.free -= c.free;
    from.total_slots -= c.total_slots;
    from.free_slots -= c.free_slots;
    from.workers -= c.workers;
    from.ejected -= c.ejected;
}

} // namespace

worker_pool::worker_pool(pool_options options, std::unique_ptr<choice_policy> policy)
    : options_(options), policy_(policy ? std::move(policy) : std::make_unique<least_finish>())
{
}

bool worker_pool::in_service(const worker_entry& entry)
{
    return !entry.gone && !entry.drained && !entry.list_leaving && !entry.header_leaving;
}

worker_id worker_pool::allocate_id()
{
    if (!reusable_ids_.empty()) {
        const auto id = reusable_ids_.back();
        reusable_ids_.pop_back();
        entries_[id] = std::make_unique<worker_entry>();
        return id;
    }
    entries_.push_back(std::make_unique<worker_entry>());
    running_.push_back(0);
    return static_cast<worker_id>(entries_.size() - 1);
}

worker_pool::service_state& worker_pool::find_or_add_service(const std::string& name)
{
    auto& state = services_[name];
    if (!state)
        state = std::make_unique<service_state>();
    return *state;
}

worker_pool::service_state* worker_pool::find_service(std::string_view name) const
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : found->second.get();
}

std::optional<worker_id> worker_pool::find(std::string_view name) const
{
    const auto found = by_name_.find(name);
    if (found == by_name_.end() || at(found->second).gone)
        return std::nullopt;
    return found->second;
}

std::vector<worker_id> worker_pool::workers() const
{
    std::vector<worker_id> ids;
    for (worker_id id = 0; id < entries_.size(); ++id) {
        if (entries_[id] && !entries_[id]->gone)
            ids.push_back(id);
    }
    return ids;
}

result<worker_id, upstream_error> worker_pool::put(const worker_config& config)
{
    if (auto error = validate(config))
        return unexpected(std::move(*error));
    worker_id id = 0;
    bool drained = false;
    bool list_leaving = false;
    auto known = by_name_.find(config.name);
    if (known != by_name_.end() && at(known->second).config.address != config.address) {
        const auto old = known->second;
        drained = at(old).drained;
        list_leaving = at(old).list_leaving;
        by_name_.erase(known);
        known = by_name_.end();
        at(old).gone = true;
        refresh(old);
        release_id_if_done(old);
    }
    if (known != by_name_.end()) {
        id = known->second;
    }
    else {
        id = allocate_id();
        by_name_.emplace(config.name, id);
        at(id).drained = drained;
        at(id).list_leaving = list_leaving;
    }
    auto& entry = at(id);
    if (!entry.service || entry.config.service != config.service)
        add_to_service(id, entry, find_or_add_service(config.service));
    entry.config = config;
    entry.gone = false;
    entry.full = std::min(config.slots, config.connections);
    entry.share = entry.share_set ? std::min(entry.share, entry.full) : entry.full;
    refresh(id);
    enforce_ceiling(*entry.service);
    return id;
}

result<void, upstream_error> worker_pool::remove(std::string_view name)
{
    const auto id = find(name);
    if (!id)
        return unexpected(unknown_worker_error(name));
    auto& state = *at(*id).service;
    at(*id).gone = true;
    refresh(*id);
    release_id_if_done(*id);
    enforce_ceiling(state);
    return {};
}

void worker_pool::add_to_service(worker_id worker, worker_entry& entry, service_state& state)
{
    remove_from_service(worker, entry);
    entry.service = &state;
    entry.member_index = static_cast<std::uint32_t>(state.members.size());
    state.members.push_back(worker);
}

void worker_pool::remove_from_service(worker_id worker, worker_entry& entry)
{
    if (!entry.service)
        return;
    const bool gone = std::exchange(entry.gone, true);
    refresh(worker); // removes it from every index and total of the old service
    entry.gone = gone;
    auto& members = entry.service->members;
    members[entry.member_index] = members.back();
    at(members.back()).member_index = entry.member_index;
    members.pop_back();
    entry.service = nullptr;
}

void worker_pool::release_id_if_done(worker_id worker)
{
    auto& entry = at(worker);
    if (!entry.gone || running_[worker] > 0)
        return;
    const auto named = by_name_.find(entry.config.name);
    if (named != by_name_.end() && named->second == worker)
        by_name_.erase(named);
    remove_from_service(worker, entry);
    entries_[worker].reset();
    reusable_ids_.push_back(worker);
}

std::optional<worker_id> worker_pool::choose(time_point now, std::string_view service,
                                             duration expected, time_point deadline, rng& random)
{
    auto* state = find_service(service);
    if (!state)
        return std::nullopt;
    run_due_timers(*state, now);
    const bool borrowed_allowed = deadline - now <= options_.borrowed_run_limit;
    const auto slack = from_seconds(to_seconds(expected) * options_.probe_slack);
    if (!state->probes.empty() && deadline - now >= slack) {
        if (const auto probe = pick_probe(*state, now, borrowed_allowed))
            return probe;
    }
    if (const auto worker = pick(*state, now, borrowed_allowed, random))
        return worker;
    return pick_probe(*state, now, borrowed_allowed);
}

std::optional<worker_id> worker_pool::pick(service_state& state, time_point now,
                                           bool borrowed_allowed, rng& random)
{
    for (;;) {
        auto best = state.own.best();
        if (borrowed_allowed && state.borrowed.best_rank() < state.own.best_rank())
            best = state.borrowed.best();
        auto worker = policy_->pick({best, state.free, running_}, random);
        if (worker && !borrowed_allowed && at(*worker).lease_end)
            worker = state.own.best();
        if (!worker || !revoke_if_expired(*worker, now))
            return worker;
    }
}

std::optional<worker_id> worker_pool::pick_probe(service_state& state, time_point now,
                                                 bool borrowed_allowed)
{
    auto next = state.probes.begin();
    while (next != state.probes.end()) {
        const auto worker = *next++;
        if ((borrowed_allowed || !at(worker).lease_end) && !revoke_if_expired(worker, now))
            return worker;
    }
    return std::nullopt;
}

bool worker_pool::revoke_if_expired(worker_id worker, time_point now)
{
    auto& entry = at(worker);
    if (!entry.lease_end || now < *entry.lease_end)
        return false;
    entry.share = 0;
    refresh(worker);
    return true;
}

void worker_pool::tick(time_point now)
{
    for (auto& [name, state] : services_) {
        run_due_timers(*state, now);
        for (const auto worker : state->members) {
            if (at(worker).usable > 0)
                revoke_if_expired(worker, now);
        }
    }
}

void worker_pool::task_started(worker_id worker)
{
    ++running_[worker];
    at(worker).last_used = ++tasks_started_;
    refresh(worker);
}

void worker_pool::task_ended(worker_id worker, time_point now, task_outcome outcome,
                             duration run_time, duration expected)
{
    --running_[worker];
    auto& state = *at(worker).service;
    record_outcome(worker, now, outcome, run_time, expected);
    refresh(worker);
    refresh_after_task(state);
    release_id_if_done(worker);
}

void worker_pool::record_outcome(worker_id worker, time_point now, task_outcome outcome,
                                 duration run_time, duration expected)
{
    if (outcome == task_outcome::withheld)
        return;
    auto& entry = at(worker);
    if (outcome == task_outcome::refused_not_run) {
        record_refusal(entry, now);
        return;
    }
    entry.consecutive_refusals = 0;
    if (outcome == task_outcome::ok) {
        record_success(entry, now, run_time, expected);
        return;
    }
    // If the wait was shorter than the expected run time, the deadline was too short; this is not a
    // sign of a silent connection.
    const bool silent = outcome == task_outcome::silent;
    if (silent && to_seconds(run_time) * entry.speed < to_seconds(expected))
        return;
    const bool was_suspect = entry.health.state() == worker_state::suspect;
    entry.health.record_failure(silent, options_);
    if (!was_suspect && entry.health.state() == worker_state::suspect)
        ++counters_.suspicions;
    refresh(worker); // adds the failure to the failure share of the service
    try_eject(entry, now);
}

void worker_pool::record_refusal(worker_entry& entry, time_point now)
{
    ++counters_.refusals;
    auto pause = options_.refusal_pause_first;
    for (std::uint32_t i = 0; i < entry.consecutive_refusals && pause < options_.refusal_pause_max;
         ++i)
        pause *= 2;
    ++entry.consecutive_refusals;
    entry.paused_until = now + std::min(pause, options_.refusal_pause_max);
}

void worker_pool::record_success(worker_entry& entry, time_point now, duration run_time,
                                 duration expected)
{
    entry.health.record_ok(now, entry.full, options_);
    if (run_time <= duration::zero() || expected <= duration::zero())
        return;
    const double observed = std::clamp(to_seconds(expected) / to_seconds(run_time),
                                       options_.speed_min, options_.speed_max);
    entry.speed += options_.speed_weight * (observed - entry.speed);
    auto& mean = entry.service->mean_run_seconds;
    const double weight = mean == 0 ? 1.0 : options_.run_time_weight;
    mean += weight * (to_seconds(run_time) - mean);
}

double worker_pool::pool_failure_share(const service_state& state) const
{
    // With fewer outcomes, the first failures of one worker would look like a failure of the whole
    // pool.
    static constexpr std::uint32_t min_outcomes = 50;
    const auto members = static_cast<std::uint32_t>(state.members.size());
    if (state.outcomes < std::min(min_outcomes, options_.eject_min_tasks * members) ||
        state.outcomes == 0)
        return 0;
    return static_cast<double>(state.failures) / state.outcomes;
}

std::uint32_t worker_pool::ejection_limit(const service_state& state) const
{
    static constexpr double rounding = 1e-9; // 0.3 has no exact binary representation
    return static_cast<std::uint32_t>(options_.eject_ceiling * state.capacity.workers + rounding);
}

void worker_pool::try_eject(worker_entry& entry, time_point now)
{
    auto& state = *entry.service;
    if (!in_service(entry) || !entry.health.should_eject(pool_failure_share(state), options_))
        return;
    const std::uint32_t self = entry.health.counts_as_ejected() ? 1 : 0;
    if (state.capacity.ejected - self + 1 > ejection_limit(state)) {
        ++counters_.ejections_over_ceiling;
        return;
    }
    entry.health.eject(now, options_);
    ++counters_.ejections;
}

void worker_pool::enforce_ceiling(service_state& state)
{
    while (state.capacity.ejected > ejection_limit(state)) {
        std::optional<worker_id> first;
        for (const auto worker : state.members) {
            const auto& entry = at(worker);
            if (in_service(entry) && entry.health.counts_as_ejected() &&
                (!first || entry.health.eject_until() < at(*first).health.eject_until()))
                first = worker;
        }
        if (!first)
            return;
        at(*first).health.readmit();
        refresh(*first);
    }
}

void worker_pool::run_due_timers(service_state& state, time_point now)
{
    while (!state.timers.empty() && state.timers.begin()->first <= now) {
        const auto worker = state.timers.begin()->second;
        auto& entry = at(worker);
        if (entry.paused_until && *entry.paused_until <= now)
            entry.paused_until.reset();
        if (entry.health.state() == worker_state::ejected && entry.health.eject_until() <= now) {
            entry.health.begin_probe();
            ++counters_.probes;
        }
        refresh(worker);
    }
}

void worker_pool::refresh_after_task(service_state& state)
{
    static constexpr std::size_t min_tasks = 32;
    refresh_one_slot_limit(state);
    if (++state.ended_since_median < std::max(min_tasks, state.members.size()))
        return;
    state.ended_since_median = 0;
    refresh_median(state);
}

void worker_pool::refresh_one_slot_limit(service_state& state)
{
    const double share = pool_failure_share(state);
    const bool lifted = state.one_slot_limit_lifted
                            ? share > options_.one_slot_max_failure_share / 2
                            : share > options_.one_slot_max_failure_share;
    if (lifted == state.one_slot_limit_lifted)
        return;
    state.one_slot_limit_lifted = lifted;
    refresh_all(state);
}

void worker_pool::refresh_median(service_state& state)
{
    std::vector<double> speeds;
    speeds.reserve(state.members.size());
    for (const auto worker : state.members) {
        if (in_service(at(worker)))
            speeds.push_back(at(worker).speed);
    }
    if (speeds.empty())
        return;
    const auto middle = speeds.begin() + static_cast<std::ptrdiff_t>(speeds.size() / 2);
    std::nth_element(speeds.begin(), middle, speeds.end());
    state.median_speed = *middle;
    refresh_all(state);
}

void worker_pool::refresh_all(service_state& state)
{
    for (const auto worker : state.members)
        refresh(worker);
}

void worker_pool::refresh(worker_id worker)
{
    auto& entry = at(worker);
    refresh_usable(entry);
    refresh_indexes(worker, entry);
    refresh_counts(worker, entry);
    refresh_timer(worker, entry);
}

void worker_pool::refresh_usable(worker_entry& entry)
{
    entry.usable = 0;
    if (in_service(entry) && !entry.paused_until) {
        const bool limit = !entry.service->one_slot_limit_lifted;
        entry.usable = std::min(entry.share, entry.health.slot_limit(entry.full, limit));
        if (entry.consecutive_refusals > 0)
            entry.usable = std::min(entry.usable, 1U);
    }
}

void worker_pool::refresh_indexes(worker_id worker, worker_entry& entry)
{
    auto& state = *entry.service;
    const bool has_free = running_[worker] < entry.usable;
    const bool probe = has_free && entry.health.state() == worker_state::probing &&
                       entry.health.counts_as_ejected();
    if (probe && running_[worker] == 0)
        state.probes.insert(worker);
    else if (!state.probes.empty())
        state.probes.erase(worker);

    const bool listed = has_free && !probe;
    std::uint64_t rank = winner_tree::absent;
    if (listed) {
        const double cost = 1.0 / entry.speed + options_.failure_penalty * entry.health.failures();
        const bool straggler = entry.speed < options_.straggler_ratio * state.median_speed;
        rank = policy_->rank({cost, straggler, running_[worker], entry.usable, entry.last_used});
    }
    state.own.set(worker, entry.lease_end ? winner_tree::absent : rank);
    state.borrowed.set(worker, entry.lease_end ? rank : winner_tree::absent);
    refresh_free_list(worker, entry, listed);
}

void worker_pool::refresh_free_list(worker_id worker, worker_entry& entry, bool listed)
{
    auto& free = entry.service->free;
    if (listed == (entry.free_index != no_index))
        return;
    if (listed) {
        entry.free_index = static_cast<std::uint32_t>(free.size());
        free.push_back(worker);
        return;
    }
    free[entry.free_index] = free.back();
    at(free.back()).free_index = entry.free_index;
    free.pop_back();
    entry.free_index = no_index;
}

void worker_pool::refresh_counts(worker_id worker, worker_entry& entry)
{
    auto& state = *entry.service;
    subtract(state.capacity, entry.counted);
    state.busy -= entry.counted_busy;
    state.outcomes -= entry.counted_outcomes;
    state.failures -= entry.counted_failures;
    entry.counted = {};
    entry.counted_busy = entry.counted_outcomes = entry.counted_failures = 0;
    if (in_service(entry)) {
        const auto running = running_[worker];
        auto& counted = entry.counted;
        counted.workers = 1;
        counted.ejected = entry.health.counts_as_ejected() ? 1 : 0;
        counted.total_slots = entry.usable;
        counted.free_slots = entry.usable - std::min(entry.usable, running);
        counted.total = counted.total_slots * entry.speed;
        counted.free = counted.free_slots * entry.speed;
        entry.counted_busy = std::min(entry.usable, running);
        entry.counted_outcomes = entry.health.outcomes();
        entry.counted_failures = entry.health.failures();
    }
    add(state.capacity, entry.counted);
    state.busy += entry.counted_busy;
    state.outcomes += entry.counted_outcomes;
    state.failures += entry.counted_failures;
}

void worker_pool::refresh_timer(worker_id worker, worker_entry& entry)
{
    std::optional<time_point> due;
    if (in_service(entry)) {
        due = entry.paused_until;
        if (entry.health.state() == worker_state::ejected)
            due = due ? std::min(*due, entry.health.eject_until()) : entry.health.eject_until();
    }
    if (due == entry.timer_at)
        return;
    auto& timers = entry.service->timers;
    if (entry.timer_at)
        timers.erase({*entry.timer_at, worker});
    if (due)
        timers.emplace(*due, worker);
    entry.timer_at = due;
}

result<void, upstream_error> worker_pool::set_drained(std::string_view name, bool drained)
{
    const auto id = find(name);
    if (!id)
        return unexpected(unknown_worker_error(name));
    auto& entry = at(*id);
    entry.drained = drained;
    if (!drained)
        entry.header_leaving.reset();
    refresh(*id);
    enforce_ceiling(*entry.service);
    return {};
}

void worker_pool::header_leaving(worker_id worker, time_point now)
{
    at(worker).header_leaving = now;
    refresh(worker);
    enforce_ceiling(*at(worker).service);
}

bool worker_pool::apply_list(time_point now, const platform_list& list)
{
    const bool stale = now - list.as_of > options_.list_max_age;
    const bool not_newer = list_as_of_ && list.as_of <= *list_as_of_;
    if (list.workers.empty() || stale || not_newer) {
        ++counters_.lists_ignored;
        return false;
    }
    list_as_of_ = list.as_of;
    for (const auto& listed : list.workers) {
        const auto id = find(listed.name);
        if (!id)
            continue;
        auto& entry = at(*id);
        entry.list_leaving = listed.leaving;
        if (!listed.leaving && entry.header_leaving &&
            list.as_of > *entry.header_leaving + options_.list_lag)
            entry.header_leaving.reset();
        refresh(*id);
    }
    for (auto& [name, state] : services_)
        enforce_ceiling(*state);
    return true;
}

void worker_pool::set_share(worker_id worker, std::uint32_t slots,
                            std::optional<time_point> lease_end)
{
    auto& entry = at(worker);
    entry.share_set = true;
    entry.share = std::min(slots, entry.full);
    entry.lease_end = lease_end;
    refresh(worker);
}

worker_state worker_pool::state(worker_id worker) const
{
    const auto& entry = at(worker);
    if (entry.gone)
        return worker_state::gone;
    if (entry.drained)
        return worker_state::drained;
    if (!in_service(entry))
        return worker_state::leaving;
    return entry.health.state();
}

pool_capacity worker_pool::capacity(std::string_view service) const
{
    const auto* state = find_service(service);
    return state ? state->capacity : pool_capacity{};
}

std::optional<duration> worker_pool::time_to_free_slot(std::string_view service) const
{
    const auto* state = find_service(service);
    if (!state || state->capacity.total_slots == 0)
        return std::nullopt;
    if (state->capacity.free_slots > 0)
        return duration::zero();
    return from_seconds(state->mean_run_seconds / std::max(state->busy, 1U));
}

} // namespace chivewharf::upstream
