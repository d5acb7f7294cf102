#include <fleet/shard_claims.h>

#include <algorithm>
#include <base/log_line.h>
#include <utility>

namespace chivewharf::fleet {

namespace {

/// Interval of the decisions about claims.
constexpr duration check_interval = milliseconds{60};
/// A shard is offered to other hosts once one of them has been the better owner for this long.
constexpr duration offer_delay = seconds{2};
/// Number of low bits of a token, below the epoch, that hold the process's `fence_base_`.
constexpr unsigned token_base_bits = 20;
/// Epochs that a process can use before it reaches those of a process that starts later.
constexpr std::uint64_t epochs_per_base = 16;
/// Initial back-off before an owner whose token was refused acquires its workers under a higher
/// one. It doubles each time, so that two owners that cannot reach each other do not keep stopping
/// each other's tasks.
constexpr duration initial_reclaim_delay = milliseconds{150};
/// Maximum number of times that the back-off is doubled.
constexpr std::uint32_t max_reclaim_shift = 4;
/// The back-off is reset after this time without a refusal.
constexpr duration reclaim_delay_reset = seconds{5};
/// Maximum time that a leaving owner waits for a successor before it stops placing tasks.
constexpr duration max_successor_wait = seconds{1};

} // namespace

shard_claims::shard_claims(context where, callbacks cb, time_point now)
    : context_{where}, callbacks_{std::move(cb)}, policy_{context_.self.host, now},
      probe_{context_.port, context_.workers}
{
}

void shard_claims::fence_base_granted(std::uint64_t number)
{
    // 0 means that no number has been assigned.
    fence_base_ = number + 1;
    log_line{"fence_base"}.add("number", fence_base_).write();
}

void shard_claims::learn(const wire::host_report& report)
{
    for (const auto& domain : report.domains) {
        const auto& known = context_.domains;
        if (std::find(known.begin(), known.end(), domain.domain) != known.end())
            plan_.merge(domain);
    }
    for (const auto& claim : report.claims) {
        auto& max_epoch = max_epoch_[claim.shard.domain];
        max_epoch = std::max(max_epoch, claim.epoch);
    }
}

shard_owner* shard_claims::find(const wire::shard& shard)
{
    const auto found = owned_.find(shard);
    return found == owned_.end() ? nullptr : found->second.owner.get();
}

void shard_claims::for_each_owner(const std::function<void(shard_owner& owner)>& call)
{
    for (auto& [shard, owned] : owned_)
        call(*owned.owner);
}

std::vector<wire::shard_claim> shard_claims::claims(time_point now) const
{
    std::vector<wire::shard_claim> all;
    for (const auto& [shard, owned] : owned_)
        all.push_back({shard,
                       owned.epoch,
                       owned.owner->takeover_complete(),
                       owned.owner->free_milli(),
                       static_cast<std::uint32_t>(to_ms(owned.owner->backlog())),
                       leaving() || owned.offered_at,
                       owned.owner->workers_in_use()->revision,
                       {},
                       owned.owner->room(now)});
    return all;
}

void shard_claims::worker_released(const wire::worker_release& released, time_point now)
{
    for (auto& [shard, owned] : owned_) {
        if (shard.domain == released.domain)
            owned.owner->worker_released(released.worker, now);
    }
}

void shard_claims::apply_drains(time_point now)
{
    for (auto& [shard, owned] : owned_)
        owned.owner->set_usable_share(context_.drains.usable_share(shard.domain, now), now);
}

void shard_claims::tick(time_point now)
{
    for (auto& [shard, owned] : owned_)
        owned.owner->tick(now);
    hand_over(now);
}

void shard_claims::leave(time_point end_by, time_point now)
{
    leaving_since_ = now;
    end_by_ = end_by;
}

void shard_claims::yield_all(time_point now)
{
    while (!owned_.empty())
        yield(wire::shard{owned_.begin()->first}, now);
}

bool shard_claims::claimed_by_staying_host(const wire::shard& shard, time_point now) const
{
    const auto all = candidates(shard, now);
    return std::any_of(all.begin(), all.end(),
                       [](const claim_candidate& one) { return one.epoch > 0 && !one.leaving; });
}

std::vector<claim_candidate> shard_claims::candidates(const wire::shard& shard,
                                                      time_point now) const
{
    // Of other domains, hosts without a shard are no candidates: they do not report to each other,
    // so that each of them would take itself for the first.
    std::vector<claim_candidate> all;
    const auto mine = owned_.find(shard);
    claim_candidate self;
    self.host = context_.self.host;
    self.home = context_.self.domain == shard.domain;
    self.can_claim = can_claim(now) && (self.home || !owned_.empty());
    self.leaving = leaving() || (mine != owned_.end() && mine->second.offered_at);
    self.fence_base = fence_base_;
    self.epoch = mine == owned_.end() ? 0 : mine->second.epoch;
    self.owned = owned_.size();
    self.processor_milli = context_.self.processor_milli;
    all.push_back(std::move(self));
    for (const auto& [name, host] : context_.directory.hosts()) {
        if (!context_.directory.alive(host, now))
            continue;
        claim_candidate candidate;
        candidate.host = name;
        candidate.home = host.record.domain == shard.domain;
        candidate.can_claim = host.report->able && (candidate.home || host.owns());
        candidate.leaving = host.report->leaving;
        candidate.fence_base = host.report->fence_base;
        candidate.owned = host.report->claims.size();
        candidate.processor_milli = host.report->processor_milli;
        for (const auto& claim : host.report->claims) {
            if (claim.shard != shard)
                continue;
            candidate.epoch = claim.epoch;
            candidate.leaving = candidate.leaving || claim.leaving;
        }
        all.push_back(std::move(candidate));
    }
    return all;
}

std::uint64_t shard_claims::next_epoch(const std::string& domain)
{
    auto& max_epoch = max_epoch_[domain];
    max_epoch = std::max(max_epoch, fence_base_ * epochs_per_base) + 1;
    return max_epoch;
}

std::uint64_t shard_claims::token(std::uint64_t epoch) const
{
    const auto mask = (std::uint64_t{1} << token_base_bits) - 1;
    return (epoch << token_base_bits) | (fence_base_ & mask);
}

shard_owner::callbacks shard_claims::owner_callbacks(const wire::shard& shard)
{
    shard_owner::callbacks handlers;
    handlers.result = callbacks_.result;
    handlers.fenced = [this, shard](time_point at) {
        const auto found = owned_.find(shard);
        if (found != owned_.end() && !found->second.fenced_at)
            found->second.fenced_at = at;
    };
    handlers.released = [this, domain = shard.domain](const std::string& worker) {
        callbacks_.released(domain, worker);
    };
    return handlers;
}

void shard_claims::claim(const wire::shard& shard, bool from_leaving_owner, time_point now)
{
    probe_.forget(shard.domain);
    owned_shard owned;
    owned.epoch = next_epoch(shard.domain);
    owned.owned_since = now;
    if (from_leaving_owner) {
        for (const auto& one : candidates(shard, now)) {
            if (one.leaving && one.epoch > 0)
                owned.predecessor = one.host;
        }
    }
    owned.owner = std::make_unique<shard_owner>(shard, context_.port, context_.metrics,
                                                context_.log, owner_callbacks(shard));
    log_line{"claim"}
        .add("shard", to_text(shard))
        .add("epoch", owned.epoch)
        .add("predecessor", owned.predecessor)
        .write();
    ++context_.metrics.counter("chivewharf_claims_total");
    auto& added = owned_.insert_or_assign(shard, std::move(owned)).first->second;
    added.owner->set_usable_share(context_.drains.usable_share(shard.domain, now), now);
    update_workers(*added.owner, context_.workers.list(), now);
    added.owner->acquire_workers(token(added.epoch), !added.predecessor.empty(), now);
    callbacks_.changed(now);
}

void shard_claims::update_workers(shard_owner& owner, const std::vector<worker_entry>& workers,
                                  time_point now)
{
    if (owner.update_workers(workers, ++worker_revision_, now))
        worker_lists_changed_ = worker_revision_;
}

void shard_claims::update_workers(time_point now)
{
    const bool changed = context_.workers.refresh(now);
    const bool any_to_remove = std::any_of(owned_.begin(), owned_.end(), [](const auto& one) {
        return one.second.owner->has_worker_to_remove();
    });
    if (!changed && !any_to_remove)
        return;
    const auto list = context_.workers.list();
    if (changed && workers_complete_)
        plan_.observe(list);
    for (auto& [shard, owned] : owned_)
        update_workers(*owned.owner, list, now);
}

void shard_claims::yield(const wire::shard& shard, time_point now)
{
    const auto found = owned_.find(shard);
    auto owner = std::move(found->second.owner);
    log_line{"yield"}.add("shard", to_text(shard)).add("epoch", found->second.epoch).write();
    owned_.erase(found);
    owner->abandon(now);
    callbacks_.changed(now);
}

void shard_claims::reclaim(const wire::shard& shard, owned_shard& owned, time_point now)
{
    const auto shift = std::min(owned.fence_count, max_reclaim_shift);
    if (now - *owned.fenced_at < initial_reclaim_delay * (1U << shift))
        return;
    owned.fenced_at.reset();
    ++owned.fence_count;
    owned.owned_since = now;
    // The step grows with each refusal, since a predecessor from an earlier incarnation may have
    // used much higher epochs.
    max_epoch_[shard.domain] += std::uint64_t{1} << (2 * owned.fence_count);
    owned.epoch = next_epoch(shard.domain);
    log_line{"claim_again"}.add("shard", to_text(shard)).add("epoch", owned.epoch).write();
    owned.owner->acquire_workers(token(owned.epoch), false, now);
}

void shard_claims::yield_outdated_shards(time_point now)
{
    std::vector<wire::shard> outdated;
    for (const auto& [shard, owned] : owned_) {
        if (shard.count != plan_.count(shard.domain))
            outdated.push_back(shard);
    }
    for (const auto& shard : outdated)
        yield(shard, now);
}

void shard_claims::check_claim(const wire::shard& shard, time_point now)
{
    const auto hosts = candidates(shard, now);
    switch (policy_.decide(shard, hosts, now)) {
    case claim_action::none:
        break;
    case claim_action::claim:
        if (shard.domain == context_.self.domain || probe_.workers_reachable(shard.domain, now))
            claim(shard, false, now);
        break;
    case claim_action::take_over:
        claim(shard, true, now);
        break;
    case claim_action::yield:
        yield(shard, now);
        break;
    }
}

void shard_claims::check_predecessor(const wire::shard& shard, owned_shard& owned, time_point now)
{
    if (owned.predecessor.empty())
        return;
    const auto* host = context_.directory.find(owned.predecessor);
    const bool still_owns =
        host != nullptr && context_.directory.alive(*host, now) &&
        std::any_of(host->report->claims.begin(), host->report->claims.end(),
                    [&shard](const wire::shard_claim& one) { return one.shard == shard; });
    if (still_owns)
        return;
    owned.predecessor.clear();
    owned.owner->predecessor_gone(now);
}

std::set<wire::shard> shard_claims::settled_shards(time_point now) const
{
    std::set<wire::shard> settled;
    for (const auto& [name, host] : context_.directory.hosts()) {
        if (!host.owns() || !context_.directory.alive(host, now) || host.report->leaving)
            continue;
        for (const auto& claim : host.report->claims) {
            const bool home = host.record.domain == claim.shard.domain;
            if (!claim.leaving && (home || claim.shard.domain != context_.self.domain) &&
                !owned_.contains(claim.shard))
                settled.insert(claim.shard);
        }
    }
    return settled;
}

void shard_claims::check(time_point now)
{
    if (now < next_check_)
        return;
    next_check_ = now + check_interval;
    yield_outdated_shards(now);
    // The candidates of every shard are compared only where there may be something to decide: the
    // effort grows with the number of shards times the number of hosts.
    const auto settled = settled_shards(now);
    for (const auto& domain : context_.domains) {
        for (const auto& shard : plan_.shards_of(domain)) {
            if (settled.contains(shard))
                policy_.note_owned(shard);
            else
                check_claim(shard, now);
        }
    }
    for (auto& [shard, owned] : owned_) {
        if (owned.fenced_at && !leaving())
            reclaim(shard, owned, now);
        else if (owned.fence_count > 0 && now - owned.owned_since > reclaim_delay_reset)
            owned.fence_count = 0;
        check_predecessor(shard, owned, now);
    }
    if (!leaving())
        offer_shards(now);
}

void shard_claims::offer_shards(time_point now)
{
    // Offer one shard at a time, so that the next decision sees the effect of the last one.
    const bool moving = std::any_of(owned_.begin(), owned_.end(), [](const auto& one) {
        return one.second.offered_at || !one.second.predecessor.empty() ||
               one.second.owner->leaving();
    });
    for (auto& [shard, owned] : owned_) {
        if (owned.owner->leaving())
            continue;
        if (!policy_.should_offer(candidates(shard, now))) {
            owned.better_since.reset();
            if (owned.offered_at && !claimed_by_staying_host(shard, now))
                owned.offered_at.reset();
            continue;
        }
        if (!owned.better_since)
            owned.better_since = now;
        if (moving || owned.fenced_at || now - *owned.better_since < offer_delay)
            continue;
        owned.offered_at = now;
        log_line{"shard_offered"}.add("shard", to_text(shard)).add("epoch", owned.epoch).write();
        callbacks_.changed(now);
        return;
    }
}

void shard_claims::hand_over(time_point now)
{
    for (auto& [shard, owned] : owned_) {
        if ((!leaving() && !owned.offered_at) || owned.owner->leaving())
            continue;
        const bool waited = leaving_since_ && now - *leaving_since_ > max_successor_wait;
        if (waited || claimed_by_staying_host(shard, now))
            owned.owner->leave(now);
    }
    const auto erased = std::erase_if(owned_, [](const auto& one) {
        return one.second.owner->leaving() && one.second.owner->released() &&
               one.second.owner->jobs() == 0;
    });
    if (erased > 0)
        callbacks_.changed(now);
}

void shard_claims::interrupt(time_point now)
{
    if (!leaving() || now < end_by_)
        return;
    for (auto& [shard, owned] : owned_) {
        const auto stopped = owned.owner->interrupt(now);
        if (stopped > 0)
            log_line{"tasks_interrupted"}
                .add("shard", to_text(shard))
                .add("tasks", std::uint64_t{stopped})
                .write();
    }
}

} // namespace chivewharf::fleet
