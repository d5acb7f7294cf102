#include <fleet/fleet_host.h>

#include <algorithm>
#include <base/log_line.h>
#include <set>
#include <utility>

namespace chivewharf::fleet {

namespace {

/// Between reports to hosts that need this one's load, or its sign of life.
constexpr duration report_interval = milliseconds{100};
/// Between reports to other hosts.
constexpr duration slow_report_interval = seconds{1};
/// Claims are decided upon this often.
constexpr duration claim_interval = milliseconds{60};
/// A shard is offered when another host should have owned it for this long.
constexpr duration offer_delay = seconds{2};
/// Bits of a token below the epoch, for the number that is the process's own.
constexpr unsigned token_base_bits = 20;
/// Epochs that a process may use before it could reach those of one that starts later.
constexpr std::uint64_t epochs_per_base = 16;
/// Pause before a refused token is followed by a higher one; doubled each time, so that two owners
/// that cannot see each other do not stop each other's tasks all the time.
constexpr duration first_retake = milliseconds{150};
constexpr std::uint32_t greatest_retake_shift = 4;
/// Without a refusal for this long, the pause begins at its least again.
constexpr duration retake_memory = seconds{5};
/// A leaving owner waits this long for a successor before it stops placing tasks.
constexpr duration longest_succession = seconds{1};

} // namespace

fleet_host::fleet_host(host_identity self, std::vector<std::string> domains, worker_port& workers,
                       peer_port& peers, caller_port& callers, metrics::registry& metrics,
                       config_decoder decode, time_point now)
    : self_{std::move(self)}, domains_{std::move(domains)}, worker_port_{workers}, peers_{peers},
      metrics_{metrics}, decode_{std::move(decode)}, policy_{self_.host, now}, probe_{workers,
                                                                                      workers_}
{
    router_ = std::make_unique<job_router>(
        self_.domain, callers, metrics_, log_, [this](time_point at) { return owners(at); },
        [this](const std::string& host, const wire::message& message, time_point at) {
            to_owner(host, message, at);
        },
        self_.life);
}

void fleet_host::fence_base_granted(std::uint64_t number)
{
    // 0 stands for none.
    fence_base_ = number + 1;
    log_line{"fence_base"}.add("number", fence_base_).write();
}

void fleet_host::config_read(const std::string& record, time_point now)
{
    if (config() && config()->record == record)
        return;
    auto read = decode_(record);
    if (!read) {
        ++metrics_.counter("chivewharf_bad_records_total", "kind=\"config\"");
        log_line{"config_unreadable"}.add("why", read.error()).warn();
        return;
    }
    const auto former = config_.version();
    if (!config_.take(std::move(*read)))
        return;
    log_line{"config_in_force"}
        .add("version", config_.version())
        .add("former", former)
        .add("queues", std::uint64_t{config()->queues.size()})
        .write();
    metrics_.gauge("chivewharf_config_version") = static_cast<double>(config_.version());
    send_report(now);
}

void fleet_host::fetch_config(time_point now)
{
    if (!config_.fetch_due(now))
        return;
    std::vector<std::string> have_it;
    for (const auto& [name, host] : directory_.hosts()) {
        if (host.linked && host.report && host.report->known_config == config_.newest())
            have_it.push_back(name);
    }
    if (have_it.empty())
        return;
    config_.fetch_sent(now);
    // Each host begins with another one, and asks the next if there is no answer.
    const auto chosen = (self_.life + config_requests_++) % have_it.size();
    peers_.send(have_it[chosen], wire::config_request{config_.newest()});
}

void fleet_host::host_listed(const wire::host_record& record, time_point now)
{
    if (record.host != self_.host)
        directory_.learn(record, now);
}

std::vector<wire::host_record> fleet_host::unlinked_hosts() const
{
    std::vector<wire::host_record> all;
    for (const auto& [name, host] : directory_.hosts()) {
        if (!host.linked && !host.record.address.empty())
            all.push_back(host.record);
    }
    return all;
}

void fleet_host::peer_linked(const std::string& host, const std::string& domain, std::uint64_t life,
                             time_point now)
{
    directory_.linked(host, domain, life, now);
    log_line{"host_linked"}.add("host", host).add("domain", domain).add("life", life).write();
    auto records = directory_.records();
    records.push_back({self_.host, self_.domain, self_.address});
    peers_.send(host, wire::host_records{std::move(records)});
    peers_.send(host, report(now));
    router_->host_back(host, life, now);
}

void fleet_host::peer_unlinked(const std::string& host, time_point now)
{
    log_line{"host_unlinked"}.add("host", host).write();
    directory_.unlinked(host, now);
    router_->host_lost(host, now);
    for (auto& [shard, owned] : owned_)
        owned.owner->requester_lost(host, now);
}

void fleet_host::broadcast(const wire::message& message)
{
    for (const auto& [name, host] : directory_.hosts()) {
        if (host.linked)
            peers_.send(name, message);
    }
}

void fleet_host::to_owner(const std::string& host, const wire::message& message, time_point now)
{
    if (host != self_.host)
        peers_.send(host, message);
    else if (const auto* order = std::get_if<wire::job_order>(&message))
        take_order(host, *order, now);
    else if (const auto* cancelled = std::get_if<wire::job_cancel>(&message))
        cancel_owned(cancelled->job, now);
}

void fleet_host::take_order(const std::string& from, const wire::job_order& order, time_point now)
{
    const auto found = owned_.find(order.shard);
    if (found != owned_.end()) {
        found->second.owner->submit(order, from, now);
        return;
    }
    const wire::job_result refusal{order.job, order.attempt, wire::job_end::not_owner, 0};
    if (from == self_.host)
        router_->result(from, refusal, now);
    else
        peers_.send(from, refusal);
}

void fleet_host::take_report(const std::string& from, const wire::host_report& report,
                             time_point now)
{
    directory_.report(from, report, now);
    config_.heard(report.known_config, now);
    for (const auto& domain : report.domains)
        plan_.heard(domain);
    for (const auto& claim : report.claims) {
        auto& greatest = greatest_epoch_[claim.shard.domain];
        greatest = std::max(greatest, claim.epoch);
    }
}

void fleet_host::peer_message(const std::string& host, const wire::message& message, time_point now)
{
    directory_.heard(host, now);
    if (const auto* order = std::get_if<wire::job_order>(&message))
        take_order(host, *order, now);
    else if (const auto* result = std::get_if<wire::job_result>(&message))
        router_->result(host, *result, now);
    else if (const auto* cancelled = std::get_if<wire::job_cancel>(&message))
        cancel_owned(cancelled->job, now);
    else if (const auto* told = std::get_if<wire::host_report>(&message))
        take_report(host, *told, now);
    else if (std::holds_alternative<wire::config_request>(message)) {
        if (config())
            peers_.send(host, wire::config_record{config_.version(), config()->record});
    }
    else if (const auto* record = std::get_if<wire::config_record>(&message)) {
        if (!config() || record->version > config_.version())
            config_read(record->body, now);
    }
    else if (const auto* released = std::get_if<wire::worker_release>(&message)) {
        for (auto& [shard, owned] : owned_) {
            if (shard.domain == released->domain)
                owned.owner->worker_released(released->worker, now);
        }
    }
    else if (const auto* records = std::get_if<wire::host_records>(&message)) {
        for (const auto& one : records->hosts)
            host_listed(one, now);
    }
}

rejection fleet_host::reject(rejection why, const std::string& job, time_point now)
{
    ++metrics_.counter("chivewharf_rejections_total",
                       "reason=\"" + std::string{to_name(why)} + '"');
    if (log_.wanted(job, now))
        log_line{"job_rejected"}
            .add("job", job)
            .add("why", to_name(why))
            .add("version", config_.version())
            .add("newest", config_.newest())
            .write();
    return why;
}

result<const queue_config*, rejection>
fleet_host::find_queue(const std::string& virtual_host, const std::string& path, time_point now)
{
    const auto* queue = config_.find_queue(virtual_host, path);
    if (config_current(now) && queue != nullptr)
        return queue;
    const auto why = config_current(now) ? rejection::unknown_queue : rejection::no_config;
    return unexpected{reject(why, path.substr(path.rfind('/') + 1), now)};
}

std::optional<rejection> fleet_host::submit(std::uint64_t request, const queue_config& queue,
                                            job_request job, duration patience, time_point now)
{
    if (job.durable || job.repeated || job.perpetual || job.fills_leftover || queue.needs_advice)
        return reject(rejection::unsupported, job.job, now);
    wire::job_order order;
    order.job = std::move(job.job);
    order.queue = queue.name;
    order.service = queue.service;
    order.priority = queue.priority;
    order.max_attempts = queue.max_attempts;
    order.stretch = queue.stretch;
    order.target_ms = static_cast<std::uint32_t>(to_ms(queue.target));
    order.remaining_ms = static_cast<std::uint32_t>(to_ms(patience));
    order.payload = std::move(job.payload);
    order.steps = std::move(job.steps);
    router_->submit(request, std::move(order), now);
    return std::nullopt;
}

bool fleet_host::cancel(const std::string& job, time_point now)
{
    if (router_->cancel(job, now))
        return true;
    // Another host may have the job's caller; owners stop its tasks.
    broadcast(wire::job_cancel{job, 0});
    cancel_owned(job, now);
    return false;
}

void fleet_host::cancel_owned(const std::string& job, time_point now)
{
    for (auto& [shard, owned] : owned_)
        owned.owner->cancel(job, now);
}

std::vector<owner_view> fleet_host::owners(time_point now) const
{
    std::vector<owner_view> all;
    for (const auto& [shard, owned] : owned_) {
        if (!owned.owner->leaving() && !owned.fenced)
            all.push_back({shard, self_.host, self_.life, owned.epoch, owned.owner->swept(),
                           owned.owner->free_milli(), owned.owner->backlog()});
    }
    for (const auto& [name, host] : directory_.hosts()) {
        if (!host.linked || !directory_.alive(host, now))
            continue;
        for (const auto& claim : host.report->claims) {
            // A leaving owner serves until its successor has claimed.
            if (!claim.leaving || !claimed_by_staying_host(claim.shard, now))
                all.push_back({claim.shard, name, host.life, claim.epoch, claim.takeover_complete,
                               claim.free_milli, milliseconds{claim.backlog_ms}});
        }
    }
    return all;
}

bool fleet_host::claimed_by_staying_host(const wire::shard& shard, time_point now) const
{
    const auto all = candidates(shard, now);
    return std::any_of(all.begin(), all.end(),
                       [](const claim_candidate& one) { return one.epoch > 0 && !one.leaving; });
}

std::vector<claim_candidate> fleet_host::candidates(const wire::shard& shard, time_point now) const
{
    std::vector<claim_candidate> all;
    const auto mine = owned_.find(shard);
    claim_candidate self;
    self.host = self_.host;
    self.home = self_.domain == shard.domain;
    self.able = able(now);
    self.leaving = leaving_ || (mine != owned_.end() && mine->second.offered);
    self.fence_base = fence_base_;
    self.epoch = mine == owned_.end() ? 0 : mine->second.epoch;
    self.owned = owned_.size();
    self.processor_milli = self_.processor_milli;
    all.push_back(std::move(self));
    for (const auto& [name, host] : directory_.hosts()) {
        if (!directory_.alive(host, now))
            continue;
        claim_candidate one;
        one.host = name;
        one.home = host.record.domain == shard.domain;
        one.able = host.report->able;
        one.leaving = host.report->leaving;
        one.fence_base = host.report->fence_base;
        one.owned = host.report->claims.size();
        one.processor_milli = host.report->processor_milli;
        for (const auto& claim : host.report->claims) {
            if (claim.shard != shard)
                continue;
            one.epoch = claim.epoch;
            one.leaving = one.leaving || claim.leaving;
        }
        all.push_back(std::move(one));
    }
    return all;
}

std::uint64_t fleet_host::next_epoch(const std::string& domain)
{
    auto& greatest = greatest_epoch_[domain];
    greatest = std::max(greatest, fence_base_ * epochs_per_base) + 1;
    return greatest;
}

std::uint64_t fleet_host::token(std::uint64_t epoch) const
{
    const auto mask = (std::uint64_t{1} << token_base_bits) - 1;
    return (epoch << token_base_bits) | (fence_base_ & mask);
}

void fleet_host::claim(const wire::shard& shard, bool after_leaving, time_point now)
{
    probe_.forget(shard.domain);
    owned_shard owned;
    owned.epoch = next_epoch(shard.domain);
    owned.owned_since = now;
    if (after_leaving) {
        for (const auto& one : candidates(shard, now)) {
            if (one.leaving && one.epoch > 0)
                owned.predecessor = one.host;
        }
    }
    shard_owner::callbacks call;
    call.result = [this](const std::string& host, const wire::job_result& result, time_point at) {
        if (host == self_.host)
            router_->result(host, result, at);
        else
            peers_.send(host, result);
    };
    call.fenced = [this, shard](time_point at) {
        const auto found = owned_.find(shard);
        if (found != owned_.end() && !found->second.fenced)
            found->second.fenced = at;
    };
    call.released = [this, domain = shard.domain](const std::string& worker) {
        broadcast(wire::worker_release{domain, worker});
    };
    owned.owner =
        std::make_unique<shard_owner>(shard, worker_port_, metrics_, log_, std::move(call));
    log_line{"claim"}
        .add("shard", to_text(shard))
        .add("epoch", owned.epoch)
        .add("predecessor", owned.predecessor)
        .write();
    ++metrics_.counter("chivewharf_claims_total");
    auto& added = owned_.insert_or_assign(shard, std::move(owned)).first->second;
    added.owner->update_workers(workers_.list(), now);
    added.owner->take(token(added.epoch), !added.predecessor.empty(), now);
    send_report(now);
}

void fleet_host::yield(const wire::shard& shard, time_point now)
{
    const auto found = owned_.find(shard);
    auto owner = std::move(found->second.owner);
    log_line{"yield"}.add("shard", to_text(shard)).add("epoch", found->second.epoch).write();
    owned_.erase(found);
    owner->abandon(now);
    send_report(now);
}

void fleet_host::take_again(const wire::shard& shard, owned_shard& owned, time_point now)
{
    const auto shift = std::min(owned.fences, greatest_retake_shift);
    if (now - *owned.fenced < first_retake * (1U << shift))
        return;
    owned.fenced.reset();
    ++owned.fences;
    owned.owned_since = now;
    // A predecessor of an earlier life may have been far ahead.
    greatest_epoch_[shard.domain] += std::uint64_t{1} << (2 * owned.fences);
    owned.epoch = next_epoch(shard.domain);
    log_line{"claim_again"}.add("shard", to_text(shard)).add("epoch", owned.epoch).write();
    owned.owner->take(token(owned.epoch), false, now);
}

void fleet_host::follow_plan(time_point now)
{
    std::vector<wire::shard> outdated;
    for (const auto& [shard, owned] : owned_) {
        if (shard.count != plan_.count(shard.domain))
            outdated.push_back(shard);
    }
    for (const auto& shard : outdated)
        yield(shard, now);
}

void fleet_host::check_claim(const wire::shard& shard, time_point now)
{
    const auto hosts = candidates(shard, now);
    switch (policy_.decide(shard, hosts, now)) {
    case claim_action::none:
        break;
    case claim_action::claim:
        if (shard.domain == self_.domain || probe_.proven(shard.domain, now))
            claim(shard, false, now);
        break;
    case claim_action::succeed:
        claim(shard, true, now);
        break;
    case claim_action::yield:
        yield(shard, now);
        break;
    }
}

void fleet_host::check_predecessor(const wire::shard& shard, owned_shard& owned, time_point now)
{
    if (owned.predecessor.empty())
        return;
    const auto* host = directory_.find(owned.predecessor);
    const bool still_owns =
        host != nullptr && directory_.alive(*host, now) &&
        std::any_of(host->report->claims.begin(), host->report->claims.end(),
                    [&shard](const wire::shard_claim& one) { return one.shard == shard; });
    if (still_owns)
        return;
    owned.predecessor.clear();
    owned.owner->predecessor_gone(now);
}

void fleet_host::check_claims(time_point now)
{
    follow_plan(now);
    for (const auto& domain : domains_) {
        for (const auto& shard : plan_.shards_of(domain))
            check_claim(shard, now);
    }
    for (auto& [shard, owned] : owned_) {
        if (owned.fenced && !leaving_)
            take_again(shard, owned, now);
        else if (owned.fences > 0 && now - owned.owned_since > retake_memory)
            owned.fences = 0;
        check_predecessor(shard, owned, now);
    }
    if (!leaving_)
        offer_shards(now);
}

void fleet_host::offer_shards(time_point now)
{
    // One at a time, so that the next decision sees the effect of the last one.
    const bool moving = std::any_of(owned_.begin(), owned_.end(), [](const auto& one) {
        return one.second.offered || !one.second.predecessor.empty() || one.second.owner->leaving();
    });
    for (auto& [shard, owned] : owned_) {
        if (owned.owner->leaving())
            continue;
        if (!policy_.should_offer(candidates(shard, now))) {
            owned.better_since.reset();
            if (owned.offered && !claimed_by_staying_host(shard, now))
                owned.offered.reset();
            continue;
        }
        if (!owned.better_since)
            owned.better_since = now;
        if (moving || owned.fenced || now - *owned.better_since < offer_delay)
            continue;
        owned.offered = now;
        log_line{"shard_offered"}.add("shard", to_text(shard)).add("epoch", owned.epoch).write();
        send_report(now);
        return;
    }
}

wire::host_report fleet_host::report(time_point now) const
{
    wire::host_report told;
    told.fence_base = fence_base_;
    told.known_config = config_.version();
    told.leaving = leaving_;
    told.able = able(now) && !leaving_;
    told.processor_milli = self_.processor_milli;
    told.domains = plan_.all();
    for (const auto& [shard, owned] : owned_)
        told.claims.push_back({shard, owned.epoch, owned.owner->swept(), owned.owner->free_milli(),
                               static_cast<std::uint32_t>(to_ms(owned.owner->backlog())),
                               leaving_ || owned.offered});
    return told;
}

void fleet_host::send_report(time_point now)
{
    const auto told = report(now);
    for (const auto& [name, host] : directory_.hosts()) {
        if (!host.linked)
            continue;
        directory_.report_sent(name, now);
        peers_.send(name, told);
    }
}

void fleet_host::send_due_reports(time_point now)
{
    const auto owners = router_->owners_with_jobs();
    std::optional<wire::host_report> told;
    for (const auto& [name, host] : directory_.hosts()) {
        const bool often = !owned_.empty() || owners.contains(name);
        if (!host.linked || now - host.told < (often ? report_interval : slow_report_interval))
            continue;
        if (!told)
            told = report(now);
        directory_.report_sent(name, now);
        peers_.send(name, *told);
    }
}

void fleet_host::drop_silent(time_point now)
{
    std::set<std::string> requesters;
    for (const auto& [shard, owned] : owned_)
        owned.owner->add_requesters(requesters);
    directory_.set_requesters(requesters);
    std::vector<std::string> silent;
    for (const auto& [name, host] : directory_.hosts()) {
        if (directory_.silent(host, now))
            silent.push_back(name);
    }
    for (const auto& name : silent) {
        log_line{"host_silent"}.add("host", name).write();
        peers_.drop(name);
    }
}

void fleet_host::tick(time_point now)
{
    drop_silent(now);
    directory_.expire(now);
    if (workers_.refresh(now)) {
        const auto list = workers_.list();
        if (workers_complete_)
            plan_.observe(list);
        for (auto& [shard, owned] : owned_)
            owned.owner->update_workers(list, now);
    }
    fetch_config(now);
    if (now >= next_claims_) {
        next_claims_ = now + claim_interval;
        check_claims(now);
    }
    for (auto& [shard, owned] : owned_)
        owned.owner->tick(now);
    hand_over(now);
    router_->tick(now);
    send_due_reports(now);
}

void fleet_host::hand_over(time_point now)
{
    for (auto& [shard, owned] : owned_) {
        if ((!leaving_ && !owned.offered) || owned.owner->leaving())
            continue;
        const bool waited = leaving_ && now - leaving_since_ > longest_succession;
        if (waited || claimed_by_staying_host(shard, now))
            owned.owner->leave(now);
    }
    const auto erased = std::erase_if(owned_, [](const auto& one) {
        return one.second.owner->leaving() && one.second.owner->released() &&
               one.second.owner->jobs() == 0;
    });
    if (erased > 0)
        send_report(now);
}

bool fleet_host::ready(time_point now) const
{
    return !leaving_ && config_current(now) && !owners(now).empty();
}

void fleet_host::leave(time_point now)
{
    leaving_ = true;
    leaving_since_ = now;
    log_line{"leaving"}
        .add("shards", std::uint64_t{owned_.size()})
        .add("jobs", std::uint64_t{router_->jobs()})
        .write();
    send_report(now);
}

bool fleet_host::drained() const
{
    return owned_.empty() && router_->jobs() == 0;
}

} // namespace chivewharf::fleet
