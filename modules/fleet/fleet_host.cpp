#include <fleet/fleet_host.h>

#include <algorithm>
#include <base/log_line.h>
#include <utility>

namespace chivewharf::fleet {

namespace {

constexpr duration report_interval = milliseconds{100};
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

/// Before a host adopts a domain of others, that domain's workers have answered for this long while
/// its hosts were silent. Hosts that were cut off together with them report sooner.
constexpr duration adoption_proof = milliseconds{700};
constexpr duration probe_interval = milliseconds{200};
/// One worker may be down; this many probes of different workers in a row are not lost by chance.
constexpr std::uint32_t lost_probes = 3;
/// Lower than every owner's token: the worker refuses the look, and nothing changes there.
constexpr std::uint64_t probe_token = 1;

} // namespace

fleet_host::fleet_host(host_identity self, std::vector<std::string> domains, worker_port& workers,
                       peer_port& peers, caller_port& callers, metrics::registry& metrics,
                       config_decoder decode, time_point now)
    : self_{std::move(self)}, domains_{std::move(domains)}, worker_port_{workers}, peers_{peers},
      metrics_{metrics}, decode_{std::move(decode)}, policy_{self_.host, now}
{
    router_ = std::make_unique<job_router>(
        self_.domain, callers, metrics_, log_, [this](time_point at) { return owners(at); },
        [this](const std::string& host, const wire::message& message, time_point at) {
            to_owner(host, message, at);
        });
}

void fleet_host::fence_base_granted(std::uint64_t number)
{
    // 0 stands for none.
    fence_base_ = number + 1;
    log_line{"fence_base"}.add("number", fence_base_).write();
}

void fleet_host::config_read(const std::string& record, time_point now)
{
    if (config_ && config_->record == record)
        return;
    auto config = decode_(record);
    if (!config) {
        ++metrics_.counter("chivewharf_bad_records_total", "kind=\"config\"");
        log_line{"config_unreadable"}.add("why", config.error()).warn();
        return;
    }
    adopt(std::move(*config), now);
}

void fleet_host::adopt(cluster_config config, time_point now)
{
    if (config_ && config.version <= config_->version)
        return;
    log_line{"config_in_force"}
        .add("version", config.version)
        .add("former", config_ ? config_->version : 0)
        .add("queues", std::uint64_t{config.queues.size()})
        .write();
    config_ = std::move(config);
    queues_ = queue_index{config_->queues};
    newest_config_ = std::max(newest_config_, config_->version);
    metrics_.gauge("chivewharf_config_version") = static_cast<double>(config_->version);
    broadcast(wire::config_record{config_->version, config_->record});
    send_report(now);
}

bool fleet_host::config_current() const
{
    return config_ && config_->version >= newest_config_;
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
    if (config_)
        peers_.send(host, wire::config_record{config_->version, config_->record});
    peers_.send(host, report());
    router_->host_back(host, life, now);
}

void fleet_host::peer_unlinked(const std::string& host, time_point now)
{
    log_line{"host_unlinked"}.add("host", host).write();
    directory_.unlinked(host, now);
    router_->host_lost(host, now);
    for (auto& [domain, owned] : owned_)
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
        for (auto& [domain, owned] : owned_)
            owned.owner->cancel(cancelled->job, now);
}

void fleet_host::take_order(const std::string& from, const wire::job_order& order, time_point now)
{
    const auto found = owned_.find(order.domain);
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
    newest_config_ = std::max(newest_config_, report.known_config);
    for (const auto& claim : report.claims) {
        auto& greatest = greatest_epoch_[claim.domain];
        greatest = std::max(greatest, claim.epoch);
    }
    if (config_ && report.known_config < config_->version && report.known_config != 0) {
        // Passed on when it came into force; a host that was cut off then has missed it.
        peers_.send(from, wire::config_record{config_->version, config_->record});
    }
}

void fleet_host::peer_message(const std::string& host, const wire::message& message, time_point now)
{
    if (const auto* order = std::get_if<wire::job_order>(&message))
        take_order(host, *order, now);
    else if (const auto* result = std::get_if<wire::job_result>(&message))
        router_->result(host, *result, now);
    else if (const auto* cancelled = std::get_if<wire::job_cancel>(&message)) {
        for (auto& [domain, owned] : owned_)
            owned.owner->cancel(cancelled->job, now);
    }
    else if (const auto* told = std::get_if<wire::host_report>(&message))
        take_report(host, *told, now);
    else if (const auto* record = std::get_if<wire::config_record>(&message)) {
        if (!config_ || record->version > config_->version)
            config_read(record->body, now);
    }
    else if (const auto* released = std::get_if<wire::worker_release>(&message)) {
        const auto found = owned_.find(released->domain);
        if (found != owned_.end())
            found->second.owner->worker_released(released->worker, now);
    }
    else if (const auto* records = std::get_if<wire::host_records>(&message)) {
        wire::host_records news;
        for (const auto& one : records->hosts) {
            if (one.host != self_.host && directory_.learn(one, now))
                news.hosts.push_back(one);
        }
        if (!news.hosts.empty())
            broadcast(news);
    }
}

std::optional<rejection> fleet_host::submit(std::uint64_t request, const std::string& virtual_host,
                                            const std::string& path, job_request job,
                                            duration patience, time_point now)
{
    const auto reject = [&](rejection why) {
        ++metrics_.counter("chivewharf_rejections_total",
                           "reason=\"" + std::string{to_name(why)} + '"');
        if (log_.wanted(job.job, now))
            log_line{"job_rejected"}
                .add("job", job.job)
                .add("why", to_name(why))
                .add("version", config_ ? config_->version : 0)
                .add("newest", newest_config_)
                .write();
        return why;
    };
    if (!config_current())
        return reject(rejection::no_config);
    const auto* queue = queues_.find(virtual_host, path);
    if (queue == nullptr)
        return reject(rejection::unknown_queue);
    if (job.durable || job.repeated || job.perpetual || job.fills_leftover || queue->needs_advice)
        return reject(rejection::unsupported);
    wire::job_order order;
    order.job = std::move(job.job);
    order.queue = queue->name;
    order.service = queue->service;
    order.priority = queue->priority;
    order.max_attempts = queue->max_attempts;
    order.stretch = queue->stretch;
    order.target_ms = static_cast<std::uint32_t>(to_ms(queue->target));
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
    for (auto& [domain, owned] : owned_)
        owned.owner->cancel(job, now);
    return false;
}

std::vector<owner_view> fleet_host::owners(time_point now) const
{
    std::vector<owner_view> all;
    for (const auto& [domain, owned] : owned_) {
        if (!owned.owner->leaving() && !owned.fenced)
            all.push_back({domain, self_.host, self_.life, owned.epoch, owned.owner->swept(),
                           owned.owner->free_milli(), owned.owner->backlog()});
    }
    for (const auto& [name, host] : directory_.hosts()) {
        if (!host.linked || !directory_.alive(host, now))
            continue;
        for (const auto& claim : host.report->claims) {
            // A leaving owner serves until its successor has claimed.
            if (!host.report->leaving || !claimed_by_staying_host(claim.domain, now))
                all.push_back({claim.domain, name, host.life, claim.epoch, claim.swept,
                               claim.free_milli, milliseconds{claim.backlog_ms}});
        }
    }
    return all;
}

bool fleet_host::claimed_by_staying_host(const std::string& domain, time_point now) const
{
    const auto all = candidates(domain, now);
    return std::any_of(all.begin(), all.end(),
                       [](const claim_candidate& one) { return one.epoch > 0 && !one.leaving; });
}

std::vector<claim_candidate> fleet_host::candidates(const std::string& domain, time_point now) const
{
    std::vector<claim_candidate> all;
    const auto mine = owned_.find(domain);
    all.push_back({self_.host, self_.domain == domain, able(), leaving_, fence_base_,
                   mine == owned_.end() ? 0 : mine->second.epoch});
    for (const auto& [name, host] : directory_.hosts()) {
        if (!directory_.alive(host, now))
            continue;
        claim_candidate one{name,
                            host.record.domain == domain,
                            host.report->able,
                            host.report->leaving,
                            host.report->fence_base,
                            0};
        for (const auto& claim : host.report->claims) {
            if (claim.domain == domain)
                one.epoch = claim.epoch;
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

bool fleet_host::may_adopt(const std::string& domain, time_point now)
{
    // A domain whose hosts and workers are both silent is cut off, and its own hosts go on serving
    // it. Taking it over would only disturb them when the path is back.
    auto& probe = probes_[domain];
    if (now >= probe.next) {
        probe.next = now + probe_interval;
        std::vector<worker_entry> there;
        for (auto& worker : workers_.list()) {
            if (worker.domain == domain && !worker.leaving)
                there.push_back(std::move(worker));
        }
        if (there.empty())
            return false;
        const auto& chosen =
            there[static_cast<std::size_t>(now.time_since_epoch() / probe_interval) % there.size()];
        look_order order{{chosen.id, chosen.address}, probe_token, 0, {}, {}};
        worker_port_.look(std::move(order), [this, domain, alive = std::weak_ptr<int>{running_}](
                                                const look_reply& reply) {
            if (!alive.expired())
                probe_answered(domain, reply.outcome, reply.received);
        });
    }
    return probe.answered_since && now - *probe.answered_since >= adoption_proof;
}

void fleet_host::probe_answered(const std::string& domain, order_outcome outcome, time_point now)
{
    auto& probe = probes_[domain];
    if (outcome != order_outcome::unanswered) {
        probe.unanswered = 0;
        if (!probe.answered_since)
            probe.answered_since = now;
    }
    else if (++probe.unanswered >= lost_probes) {
        probe.answered_since.reset();
    }
}

void fleet_host::claim(const std::string& domain, bool after_leaving, time_point now)
{
    probes_.erase(domain);
    owned_domain owned;
    owned.epoch = next_epoch(domain);
    owned.owned_since = now;
    if (after_leaving) {
        for (const auto& one : candidates(domain, now)) {
            if (one.leaving && one.epoch > 0)
                owned.predecessor = one.host;
        }
    }
    domain_owner::callbacks call;
    call.result = [this](const std::string& host, const wire::job_result& result, time_point at) {
        if (host == self_.host)
            router_->result(host, result, at);
        else
            peers_.send(host, result);
    };
    call.fenced = [this, domain](time_point at) {
        const auto found = owned_.find(domain);
        if (found != owned_.end() && !found->second.fenced)
            found->second.fenced = at;
    };
    call.released = [this, domain](const std::string& worker) {
        broadcast(wire::worker_release{domain, worker});
    };
    owned.owner =
        std::make_unique<domain_owner>(domain, worker_port_, metrics_, log_, std::move(call));
    log_line{"claim"}
        .add("domain", domain)
        .add("epoch", owned.epoch)
        .add("predecessor", owned.predecessor)
        .write();
    ++metrics_.counter("chivewharf_claims_total");
    auto& added = owned_.insert_or_assign(domain, std::move(owned)).first->second;
    added.owner->update_workers(workers_.list(), now);
    added.owner->take(token(added.epoch), !added.predecessor.empty(), now);
    send_report(now);
}

void fleet_host::yield(const std::string& domain, time_point now)
{
    const auto found = owned_.find(domain);
    auto owner = std::move(found->second.owner);
    log_line{"yield"}.add("domain", domain).add("epoch", found->second.epoch).write();
    owned_.erase(found);
    owner->abandon(now);
    send_report(now);
}

void fleet_host::take_again(const std::string& domain, owned_domain& owned, time_point now)
{
    const auto shift = std::min(owned.fences, greatest_retake_shift);
    if (now - *owned.fenced < first_retake * (1U << shift))
        return;
    owned.fenced.reset();
    ++owned.fences;
    owned.owned_since = now;
    // A predecessor of an earlier life may have been far ahead.
    greatest_epoch_[domain] += std::uint64_t{1} << (2 * owned.fences);
    owned.epoch = next_epoch(domain);
    log_line{"claim_again"}.add("domain", domain).add("epoch", owned.epoch).write();
    owned.owner->take(token(owned.epoch), false, now);
}

void fleet_host::check_claims(time_point now)
{
    for (const auto& domain : domains_) {
        switch (policy_.decide(domain, candidates(domain, now), now)) {
        case claim_action::none:
            break;
        case claim_action::claim:
            if (domain == self_.domain || may_adopt(domain, now))
                claim(domain, false, now);
            break;
        case claim_action::succeed:
            claim(domain, true, now);
            break;
        case claim_action::yield:
            yield(domain, now);
            break;
        }
    }
    for (auto& [domain, owned] : owned_) {
        if (owned.fenced && !leaving_)
            take_again(domain, owned, now);
        else if (owned.fences > 0 && now - owned.owned_since > retake_memory)
            owned.fences = 0;
        if (owned.predecessor.empty())
            continue;
        const auto* host = directory_.find(owned.predecessor);
        const auto& name = domain;
        const bool still_owns =
            host != nullptr && directory_.alive(*host, now) &&
            std::any_of(host->report->claims.begin(), host->report->claims.end(),
                        [&name](const wire::domain_claim& one) { return one.domain == name; });
        if (still_owns)
            continue;
        owned.predecessor.clear();
        owned.owner->predecessor_gone(now);
    }
}

wire::host_report fleet_host::report() const
{
    wire::host_report told;
    told.fence_base = fence_base_;
    told.known_config = config_ ? config_->version : 0;
    told.leaving = leaving_;
    told.able = able() && !leaving_;
    for (const auto& [domain, owned] : owned_)
        told.claims.push_back({domain, owned.epoch, owned.owner->swept(), owned.owner->free_milli(),
                               static_cast<std::uint32_t>(to_ms(owned.owner->backlog()))});
    return told;
}

void fleet_host::send_report(time_point now)
{
    broadcast(report());
    next_report_ = now + report_interval;
}

void fleet_host::drop_silent(time_point now)
{
    std::vector<std::string> silent;
    for (const auto& [name, host] : directory_.hosts()) {
        if (host.linked && now - host.heard > host_directory::silence_limit)
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
        for (auto& [domain, owned] : owned_)
            owned.owner->update_workers(workers_.list(), now);
    }
    check_claims(now);
    for (auto& [domain, owned] : owned_)
        owned.owner->tick(now);
    if (leaving_)
        hand_over(now);
    router_->tick(now);
    if (now >= next_report_)
        send_report(now);
}

void fleet_host::hand_over(time_point now)
{
    for (auto& [domain, owned] : owned_) {
        const bool waited = now - leaving_since_ > longest_succession;
        if (!owned.owner->leaving() && (waited || claimed_by_staying_host(domain, now)))
            owned.owner->leave(now);
    }
    const auto erased = std::erase_if(owned_, [](const auto& one) {
        return one.second.owner->released() && one.second.owner->jobs() == 0;
    });
    if (erased > 0)
        send_report(now);
}

bool fleet_host::ready(time_point now) const
{
    return !leaving_ && config_current() && !owners(now).empty();
}

void fleet_host::leave(time_point now)
{
    leaving_ = true;
    leaving_since_ = now;
    log_line{"leaving"}
        .add("domains", std::uint64_t{owned_.size()})
        .add("jobs", std::uint64_t{router_->jobs()})
        .write();
    send_report(now);
}

bool fleet_host::drained() const
{
    return owned_.empty() && router_->jobs() == 0;
}

} // namespace chivewharf::fleet
