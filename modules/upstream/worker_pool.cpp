#include <upstream/worker_pool.h>

#include <algorithm>
#include <cmath>

namespace chivewharf::upstream {

namespace {

std::optional<upstream_error> check(const worker_config& config)
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

upstream_error unknown(std::string_view name)
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

worker_id worker_pool::allocate()
{
    if (!unused_.empty()) {
        const auto id = unused_.back();
        unused_.pop_back();
        entries_[id] = std::make_unique<worker_entry>();
        return id;
    }
    entries_.push_back(std::make_unique<worker_entry>());
    running_.push_back(0);
    return static_cast<worker_id>(entries_.size() - 1);
}

worker_pool::service_state& worker_pool::service(const std::string& name)
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
    if (auto error = check(config))
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
        release_if_done(old);
    }
    if (known != by_name_.end()) {
        id = known->second;
    }
    else {
        id = allocate();
        by_name_.emplace(config.name, id);
        at(id).drained = drained;
        at(id).list_leaving = list_leaving;
    }
    auto& entry = at(id);
    if (!entry.service || entry.config.service != config.service)
        join(id, entry, service(config.service));
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
        return unexpected(unknown(name));
    auto& in = *at(*id).service;
    at(*id).gone = true;
    refresh(*id);
    release_if_done(*id);
    enforce_ceiling(in);
    return {};
}

void worker_pool::join(worker_id worker, worker_entry& entry, service_state& in)
{
    leave(worker, entry);
    entry.service = &in;
    entry.member_index = static_cast<std::uint32_t>(in.members.size());
    in.members.push_back(worker);
}

void worker_pool::leave(worker_id worker, worker_entry& entry)
{
    if (!entry.service)
        return;
    const bool gone = std::exchange(entry.gone, true);
    refresh(worker); // takes it out of every index and total of the old service
    entry.gone = gone;
    auto& members = entry.service->members;
    members[entry.member_index] = members.back();
    at(members.back()).member_index = entry.member_index;
    members.pop_back();
    entry.service = nullptr;
}

void worker_pool::release_if_done(worker_id worker)
{
    auto& entry = at(worker);
    if (!entry.gone || running_[worker] > 0)
        return;
    const auto named = by_name_.find(entry.config.name);
    if (named != by_name_.end() && named->second == worker)
        by_name_.erase(named);
    leave(worker, entry);
    entries_[worker].reset();
    unused_.push_back(worker);
}

std::optional<worker_id> worker_pool::choose(time_point now, std::string_view service,
                                             duration expected, time_point deadline, rng& random)
{
    auto* in = find_service(service);
    if (!in)
        return std::nullopt;
    wake_due(*in, now);
    const bool borrowed_allowed = deadline - now <= options_.borrowed_run_limit;
    const auto slack = from_seconds(to_seconds(expected) * options_.probe_slack);
    if (!in->probes.empty() && deadline - now >= slack) {
        if (const auto probe = pick_probe(*in, now, borrowed_allowed))
            return probe;
    }
    if (const auto worker = pick(*in, now, borrowed_allowed, random))
        return worker;
    return pick_probe(*in, now, borrowed_allowed);
}

std::optional<worker_id> worker_pool::pick(service_state& in, time_point now, bool borrowed_allowed,
                                           rng& random)
{
    for (;;) {
        auto best = in.own.best();
        if (borrowed_allowed && in.borrowed.best_rank() < in.own.best_rank())
            best = in.borrowed.best();
        auto worker = policy_->pick({best, in.free, running_}, random);
        if (worker && !borrowed_allowed && at(*worker).lease_end)
            worker = in.own.best();
        if (!worker || !drop_lapsed(*worker, now))
            return worker;
    }
}

std::optional<worker_id> worker_pool::pick_probe(service_state& in, time_point now,
                                                 bool borrowed_allowed)
{
    auto next = in.probes.begin();
    while (next != in.probes.end()) {
        const auto worker = *next++;
        if ((borrowed_allowed || !at(worker).lease_end) && !drop_lapsed(worker, now))
            return worker;
    }
    return std::nullopt;
}

bool worker_pool::drop_lapsed(worker_id worker, time_point now)
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
    for (auto& [name, in] : services_) {
        wake_due(*in, now);
        for (const auto worker : in->members) {
            if (at(worker).usable > 0)
                drop_lapsed(worker, now);
        }
    }
}

void worker_pool::task_started(worker_id worker)
{
    ++running_[worker];
    at(worker).last_used = ++choices_;
    refresh(worker);
}

void worker_pool::task_ended(worker_id worker, time_point now, task_outcome outcome,
                             duration run_time, duration expected)
{
    --running_[worker];
    auto& in = *at(worker).service;
    judge(worker, now, outcome, run_time, expected);
    refresh(worker);
    note_ended(in);
    release_if_done(worker);
}

void worker_pool::judge(worker_id worker, time_point now, task_outcome outcome, duration run_time,
                        duration expected)
{
    if (outcome == task_outcome::withheld)
        return;
    auto& entry = at(worker);
    if (outcome == task_outcome::refused_not_run) {
        record_refusal(entry, now);
        return;
    }
    entry.refusals_in_a_row = 0;
    if (outcome == task_outcome::ok) {
        record_success(entry, now, run_time, expected);
        return;
    }
    // A wait shorter than the expected run time says that the deadline was short, not that the
    // connection was silent.
    const bool silent = outcome == task_outcome::silent;
    if (silent && to_seconds(run_time) * entry.speed < to_seconds(expected))
        return;
    const bool was_suspect = entry.health.state() == worker_state::suspect;
    entry.health.record_failure(silent, options_);
    if (!was_suspect && entry.health.state() == worker_state::suspect)
        ++counters_.suspicions;
    refresh(worker); // the failure enters the pool's share
    try_eject(entry, now);
}

void worker_pool::record_refusal(worker_entry& entry, time_point now)
{
    ++counters_.refusals;
    auto pause = options_.refusal_pause_first;
    for (std::uint32_t i = 0; i < entry.refusals_in_a_row && pause < options_.refusal_pause_longest;
         ++i)
        pause *= 2;
    ++entry.refusals_in_a_row;
    entry.paused_until = now + std::min(pause, options_.refusal_pause_longest);
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

double worker_pool::pool_share(const service_state& in) const
{
    // With fewer tasks seen, the first failures of one worker would look like a failing pool.
    static constexpr std::uint32_t enough_seen = 50;
    const auto members = static_cast<std::uint32_t>(in.members.size());
    if (in.seen < std::min(enough_seen, options_.eject_min_tasks * members) || in.seen == 0)
        return 0;
    return static_cast<double>(in.failures) / in.seen;
}

std::uint32_t worker_pool::ejection_limit(const service_state& in) const
{
    static constexpr double rounding = 1e-9; // 0.3 is not exact in binary
    return static_cast<std::uint32_t>(options_.eject_ceiling * in.capacity.workers + rounding);
}

void worker_pool::try_eject(worker_entry& entry, time_point now)
{
    auto& in = *entry.service;
    if (!in_service(entry) || !entry.health.must_eject(pool_share(in), options_))
        return;
    const std::uint32_t self = entry.health.counts_as_ejected() ? 1 : 0;
    if (in.capacity.ejected - self + 1 > ejection_limit(in)) {
        ++counters_.ejections_over_ceiling;
        return;
    }
    entry.health.eject(now, options_);
    ++counters_.ejections;
}

void worker_pool::enforce_ceiling(service_state& in)
{
    while (in.capacity.ejected > ejection_limit(in)) {
        std::optional<worker_id> first;
        for (const auto worker : in.members) {
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

void worker_pool::wake_due(service_state& in, time_point now)
{
    while (!in.wakes.empty() && in.wakes.begin()->first <= now) {
        const auto worker = in.wakes.begin()->second;
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

void worker_pool::note_ended(service_state& in)
{
    static constexpr std::size_t least = 32;
    refresh_limit(in);
    if (++in.ended_since_median < std::max(least, in.members.size()))
        return;
    in.ended_since_median = 0;
    refresh_median(in);
}

void worker_pool::refresh_limit(service_state& in)
{
    const double share = pool_share(in);
    const bool lifted = in.one_slot_lifted ? share > options_.one_slot_max_pool_share / 2
                                           : share > options_.one_slot_max_pool_share;
    if (lifted == in.one_slot_lifted)
        return;
    in.one_slot_lifted = lifted;
    refresh_all(in);
}

void worker_pool::refresh_median(service_state& in)
{
    std::vector<double> speeds;
    speeds.reserve(in.members.size());
    for (const auto worker : in.members) {
        if (in_service(at(worker)))
            speeds.push_back(at(worker).speed);
    }
    if (speeds.empty())
        return;
    const auto middle = speeds.begin() + static_cast<std::ptrdiff_t>(speeds.size() / 2);
    std::nth_element(speeds.begin(), middle, speeds.end());
    in.median_speed = *middle;
    refresh_all(in);
}

void worker_pool::refresh_all(service_state& in)
{
    for (const auto worker : in.members)
        refresh(worker);
}

void worker_pool::refresh(worker_id worker)
{
    auto& entry = at(worker);
    refresh_usable(entry);
    refresh_indexes(worker, entry);
    refresh_counts(worker, entry);
    refresh_wake(worker, entry);
}

void worker_pool::refresh_usable(worker_entry& entry)
{
    entry.usable = 0;
    if (in_service(entry) && !entry.paused_until) {
        const bool limit = !entry.service->one_slot_lifted;
        entry.usable = std::min(entry.share, entry.health.slot_limit(entry.full, limit));
        if (entry.refusals_in_a_row > 0)
            entry.usable = std::min(entry.usable, 1U);
    }
}

void worker_pool::refresh_indexes(worker_id worker, worker_entry& entry)
{
    auto& in = *entry.service;
    const bool has_free = running_[worker] < entry.usable;
    const bool probe = has_free && entry.health.state() == worker_state::probing &&
                       entry.health.counts_as_ejected();
    if (probe && running_[worker] == 0)
        in.probes.insert(worker);
    else if (!in.probes.empty())
        in.probes.erase(worker);

    const bool listed = has_free && !probe;
    std::uint64_t rank = winner_tree::absent;
    if (listed) {
        const double cost = 1.0 / entry.speed + options_.failure_penalty * entry.health.failures();
        const bool straggler = entry.speed < options_.straggler_ratio * in.median_speed;
        rank = policy_->rank({cost, straggler, running_[worker], entry.usable, entry.last_used});
    }
    in.own.set(worker, entry.lease_end ? winner_tree::absent : rank);
    in.borrowed.set(worker, entry.lease_end ? rank : winner_tree::absent);
    refresh_free_list(worker, entry, listed);
}

void worker_pool::refresh_free_list(worker_id worker, worker_entry& entry, bool listed)
{
    auto& free = entry.service->free;
    if (listed == (entry.free_index != not_listed))
        return;
    if (listed) {
        entry.free_index = static_cast<std::uint32_t>(free.size());
        free.push_back(worker);
        return;
    }
    free[entry.free_index] = free.back();
    at(free.back()).free_index = entry.free_index;
    free.pop_back();
    entry.free_index = not_listed;
}

void worker_pool::refresh_counts(worker_id worker, worker_entry& entry)
{
    auto& in = *entry.service;
    subtract(in.capacity, entry.counted);
    in.busy -= entry.counted_busy;
    in.seen -= entry.counted_seen;
    in.failures -= entry.counted_failures;
    entry.counted = {};
    entry.counted_busy = entry.counted_seen = entry.counted_failures = 0;
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
        entry.counted_seen = entry.health.seen();
        entry.counted_failures = entry.health.failures();
    }
    add(in.capacity, entry.counted);
    in.busy += entry.counted_busy;
    in.seen += entry.counted_seen;
    in.failures += entry.counted_failures;
}

void worker_pool::refresh_wake(worker_id worker, worker_entry& entry)
{
    std::optional<time_point> wake;
    if (in_service(entry)) {
        wake = entry.paused_until;
        if (entry.health.state() == worker_state::ejected)
            wake = wake ? std::min(*wake, entry.health.eject_until()) : entry.health.eject_until();
    }
    if (wake == entry.wake_at)
        return;
    auto& wakes = entry.service->wakes;
    if (entry.wake_at)
        wakes.erase({*entry.wake_at, worker});
    if (wake)
        wakes.emplace(*wake, worker);
    entry.wake_at = wake;
}

result<void, upstream_error> worker_pool::set_drained(std::string_view name, bool drained)
{
    const auto id = find(name);
    if (!id)
        return unexpected(unknown(name));
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
    for (auto& [name, in] : services_)
        enforce_ceiling(*in);
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
    const auto* in = find_service(service);
    return in ? in->capacity : pool_capacity{};
}

std::optional<duration> worker_pool::time_to_free_slot(std::string_view service) const
{
    const auto* in = find_service(service);
    if (!in || in->capacity.total_slots == 0)
        return std::nullopt;
    if (in->capacity.free_slots > 0)
        return duration::zero();
    return from_seconds(in->mean_run_seconds / std::max(in->busy, 1U));
}

} // namespace chivewharf::upstream
