#include <fleet/fleet_host.h>

#include <algorithm>
#include <base/log_line.h>
#include <fleet/order_age.h>
#include <set>
#include <tuple>
#include <utility>

namespace chivewharf::fleet {

namespace {

/// Minimum interval between requests for the list of known hosts, which is sent as links open.
constexpr duration min_host_list_interval = milliseconds{200};
/// Interval of these requests otherwise, in case the store does not answer.
constexpr duration host_list_interval = seconds{10};
/// Bounds the memory and the log lines that drains of unknown domains can cause.
constexpr std::size_t max_logged_drains = 1000;

} // namespace

fleet_host::fleet_host(host_identity self, std::vector<std::string> domains, worker_port& workers,
                       peer_port& peers, caller_port& callers, metrics::registry& metrics,
                       config_decoder decode, time_point now)
    : self_{std::move(self)}, domains_{std::move(domains)}, peers_{peers}, callers_{callers},
      metrics_{metrics}, decode_{std::move(decode)}, directory_{self_.domain},
      claims_{{self_, domains_, workers, metrics_, log_, directory_, workers_, drains_},
              claim_callbacks(),
              now},
      reports_{{self_, claims_, config_, drains_, directory_, peers_}}
{
    router_ = std::make_unique<job_router>(
        self_.domain, callers, metrics_, log_, [this](time_point at) { return owners(at); },
        [this](const std::string& host, wire::message message, time_point at) {
            send_to_owner(host, std::move(message), at);
        },
        self_.incarnation);
}

shard_claims::callbacks fleet_host::claim_callbacks()
{
    shard_claims::callbacks callbacks;
    callbacks.result = [this](const std::string& host, const wire::job_result& result,
                              time_point at) {
        finished_.add(result.job, result.end, at);
        send_result(host, result, at);
    };
    callbacks.released = [this](const std::string& domain, const std::string& worker) {
        broadcast(wire::worker_release{domain, worker});
    };
    callbacks.changed = [this](time_point at) { reports_.send_to_all(at); };
    callbacks.config_current = [this](time_point at) { return config_current(at); };
    return callbacks;
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
    if (!config_.activate(std::move(*read)))
        return;
    log_line{"config_in_force"}
        .add("version", config_.version())
        .add("former", former)
        .add("queues", std::uint64_t{config()->queues.size()})
        .add("idle_timeout_ms", to_ms(config()->limits.idle_timeout))
        .add("request_timeout_ms", to_ms(config()->limits.request_timeout))
        .write();
    metrics_.gauge("chivewharf_config_version") = static_cast<double>(config_.version());
    reports_.send_to_domain(now);
}

void fleet_host::drains_known(std::uint64_t offset, const std::set<std::string>& domains,
                              std::string_view source, time_point now)
{
    if (offset <= drains_.offset())
        return;
    std::set<std::string> known;
    for (const auto& domain : domains) {
        if (knows_domain(domain))
            known.insert(domain);
        else
            log_unknown_drain(domain, source);
    }
    const auto former = drains_.domains();
    if (!drains_.learn(offset, std::move(known), now))
        return;
    log_drains(former, source);
    metrics_.gauge("chivewharf_drained_domains") = static_cast<double>(drains_.domains().size());
    // The other hosts must know the drain before they receive the jobs that it sends back.
    reports_.send_to_all(now);
    router_->set_drained_domains(drains_.domains(), all_domains_drained());
    claims_.apply_drains(now);
}

void fleet_host::log_unknown_drain(const std::string& domain, std::string_view source)
{
    if (unknown_drains_.size() < max_logged_drains && unknown_drains_.insert(domain).second)
        log_line{"drain_of_unknown_domain"}.add("domain", domain).add("source", source).warn();
}

void fleet_host::log_drains(const std::set<std::string>& former, std::string_view source)
{
    for (const auto& domain : domains_) {
        const bool drained = drains_.drained(domain);
        if (drained != former.contains(domain))
            log_line{drained ? "drain_begins" : "drain_ends"}
                .add("domain", domain)
                .add("offset", drains_.offset())
                .add("source", source)
                .write();
    }
}

bool fleet_host::all_domains_drained() const
{
    return std::all_of(domains_.begin(), domains_.end(),
                       [this](const std::string& domain) { return drains_.drained(domain); });
}

void fleet_host::fetch_config(time_point now)
{
    if (!config_.fetch_due(now))
        return;
    std::vector<std::string> sources;
    for (const auto& [name, host] : directory_.hosts()) {
        if (host.linked && host.report && host.report->known_config == config_.newest())
            sources.push_back(name);
    }
    if (sources.empty())
        return;
    config_.fetch_sent(now);
    // The incarnation spreads the first requests of different hosts over the list; a retry asks the
    // next one.
    const auto chosen = (self_.incarnation + config_requests_++) % sources.size();
    peers_.send(sources[chosen], wire::config_request{config_.newest()});
}

bool fleet_host::knows_domain(const std::string& domain) const
{
    return std::find(domains_.begin(), domains_.end(), domain) != domains_.end();
}

result<bool, std::string> fleet_host::worker_listed(worker_entry entry)
{
    if (!knows_domain(entry.domain))
        return unexpected{std::string{"its failure domain is unknown"}};
    return workers_.put(std::move(entry));
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

void fleet_host::peer_linked(const std::string& host, const std::string& domain,
                             std::uint64_t incarnation, time_point now)
{
    catch_up(now);
    directory_.linked(host, domain, incarnation, now);
    log_line{"host_linked"}
        .add("host", host)
        .add("domain", domain)
        .add("life", incarnation)
        .write();
    peers_.send(host, wire::host_records{{{self_.host, self_.domain, self_.address}}});
    if (now - host_list_requested_ >= min_host_list_interval)
        request_host_list(host, now);
    reports_.send(host, now);
    // The host may have missed them while it had no link.
    for (const auto& job : cancelled_.passed_on(now))
        peers_.send(host, wire::job_cancel{job, 0});
    router_->host_reconnected(host, incarnation, now);
}

void fleet_host::peer_unlinked(const std::string& host, time_point now)
{
    log_line{"host_unlinked"}.add("host", host).write();
    directory_.unlinked(host, now);
    router_->host_lost(host, now);
    claims_.for_each_owner([&](shard_owner& owner) { owner.requester_lost(host, now); });
}

void fleet_host::broadcast(const wire::message& message)
{
    for (const auto& [name, host] : directory_.hosts()) {
        if (host.linked)
            peers_.send(name, message);
    }
}

void fleet_host::send_to_owner(const std::string& host, wire::message message, time_point now)
{
    auto* order = std::get_if<wire::job_order>(&message);
    if (host != self_.host) {
        const auto* known = directory_.find(host);
        if (order != nullptr && known != nullptr)
            stamp(*order, known->clock, now);
        peers_.send(host, message);
    }
    else if (order != nullptr)
        handle_order(host, std::move(*order), now);
    else if (const auto* given_up = std::get_if<wire::job_cancel>(&message))
        withdraw_owned(given_up->job, host, now);
}

void fleet_host::refuse_stale(const std::string& from, const wire::job_order& order, duration age,
                              time_point now)
{
    ++metrics_.counter("chivewharf_stale_orders_total");
    if (log_.should_log(order.job, now))
        log_line{"order_stale"}
            .add("job", order.job)
            .add("attempt", order.attempt)
            .add("from", from)
            .add("age_ms", to_ms(age))
            .write();
    // The report brings the sender a recent reading of this host's clock.
    reports_.send(from, now);
    send_result(from, {order.job, order.attempt, wire::job_end::stale, 0}, now);
}

void fleet_host::handle_order(const std::string& from, wire::job_order order, time_point now)
{
    if (from != self_.host && cancelled_.contains(order.job, now)) {
        peers_.send(from, wire::job_cancel{order.job, 0});
        return;
    }
    if (const auto end = finished_.find(order.job, now)) {
        send_result(from, {order.job, order.attempt, *end, 0}, now);
        return;
    }
    const auto age = order_age(order, now).value_or(duration{0});
    if (age > max_order_age) {
        refuse_stale(from, order, age, now);
        return;
    }
    count_transit(order, age);
    if (order.remaining_ms == 0) {
        send_result(from, {order.job, order.attempt, wire::job_end::expired, 0}, now);
        return;
    }
    if (auto* owner = claims_.find(order.shard)) {
        // A sender that does not know all workers yet is told of them before the answer.
        const auto* sender = directory_.find(from);
        if (sender != nullptr && sender->worker_revision_sent < claims_.worker_revision())
            reports_.send(from, now);
        const bool remote = sender == nullptr ? self_.domain != order.shard.domain
                                              : sender->record.domain != order.shard.domain;
        owner->submit(std::move(order), from, now, remote);
        return;
    }
    send_result(from, {order.job, order.attempt, wire::job_end::not_owner, 0}, now);
}

void fleet_host::send_result(const std::string& host, const wire::job_result& result,
                             time_point now)
{
    if (host == self_.host)
        router_->result(host, result, now);
    else
        peers_.send(host, result);
}

void fleet_host::handle_report(const std::string& from, const wire::host_report& report,
                               time_point now)
{
    directory_.report(from, report, now);
    config_.note_version(report.known_config, now);
    claims_.learn(report);
    drains_known(report.operator_offset,
                 {report.drained_domains.begin(), report.drained_domains.end()}, from, now);
}

void fleet_host::peer_message(const std::string& host, const wire::message& message, time_point now)
{
    directory_.message_received(host, now);
    if (const auto* order = std::get_if<wire::job_order>(&message))
        handle_order(host, *order, now);
    else if (const auto* result = std::get_if<wire::job_result>(&message)) {
        directory_.answer_received(host, now);
        router_->result(host, *result, now);
    }
    else if (const auto* ended = std::get_if<wire::job_cancel>(&message)) {
        if (ended->attempt == 0)
            apply_cancellation(ended->job, host, false, now);
        else
            withdraw_owned(ended->job, host, now);
    }
    else if (const auto* received = std::get_if<wire::host_report>(&message))
        handle_report(host, *received, now);
    else if (std::holds_alternative<wire::config_request>(message)) {
        if (config())
            peers_.send(host, wire::config_record{config_.version(), config()->record});
    }
    else if (const auto* record = std::get_if<wire::config_record>(&message)) {
        if (!config() || record->version > config_.version())
            config_read(record->body, now);
    }
    else if (const auto* released = std::get_if<wire::worker_release>(&message))
        claims_.worker_released(*released, now);
    else if (const auto* records = std::get_if<wire::host_records>(&message)) {
        if (records->hosts.empty())
            send_host_list(host);
        else
            directory_.answer_received(host, now);
        for (const auto& one : records->hosts)
            host_listed(one, now);
    }
    else if (const auto* read = std::get_if<wire::store_records>(&message)) {
        if (store_records_handler_ && passes_on_all(host, *read))
            store_records_handler_(*read, now);
    }
}

void fleet_host::send_host_list(const std::string& host)
{
    // Never empty, since an empty list would be a request.
    auto records = directory_.records();
    records.push_back({self_.host, self_.domain, self_.address});
    peers_.send(host, wire::host_records{std::move(records)});
}

void fleet_host::request_host_list(const std::string& host, time_point now)
{
    host_list_requested_ = now;
    peers_.send(host, wire::host_records{});
}

void fleet_host::request_host_list(time_point now)
{
    if (now - host_list_requested_ < host_list_interval)
        return;
    std::vector<std::string> linked;
    for (const auto& [name, host] : directory_.hosts()) {
        if (host.linked)
            linked.push_back(name);
    }
    if (!linked.empty())
        request_host_list(linked[host_list_requests_++ % linked.size()], now);
}

std::size_t fleet_host::reading_rank(time_point now) const
{
    const auto& hosts = directory_.hosts();
    return static_cast<std::size_t>(std::count_if(hosts.begin(), hosts.end(), [&](const auto& one) {
        const auto& [name, host] = one;
        if (!directory_.same_domain(host) || !host.linked || !directory_.alive(host, now) ||
            !host.report->accepts_store_records || host.report->leaving)
            return false;
        return std::tuple{host.report->processor_milli, self_.host} >
               std::tuple{self_.processor_milli, name};
    }));
}

void fleet_host::pass_on(const wire::store_records& records)
{
    for (const auto& [name, host] : directory_.hosts()) {
        if (host.linked && directory_.same_domain(host) && host.report &&
            host.report->accepts_store_records)
            peers_.send(name, records);
    }
}

bool fleet_host::passes_on_all(const std::string& host, const wire::store_records& records) const
{
    const auto* sender = directory_.find(host);
    return static_cast<store_topic>(records.topic) != store_topic::configuration ||
           (sender != nullptr && sender->report && sender->report->operator_offset > 0);
}

rejection fleet_host::reject(rejection reason, const std::string& job, time_point now)
{
    ++metrics_.counter("chivewharf_rejections_total",
                       "reason=\"" + std::string{to_name(reason)} + '"');
    if (log_.should_log(job, now))
        log_line{"job_rejected"}
            .add("job", job)
            .add("why", to_name(reason))
            .add("version", config_.version())
            .add("newest", config_.newest())
            .write();
    return reason;
}

result<const queue_config*, rejection>
fleet_host::find_queue(const std::string& virtual_host, const std::string& path, time_point now)
{
    catch_up(now);
    const auto* queue = config_.find_queue(virtual_host, path);
    if (config_current(now) && queue != nullptr)
        return queue;
    const auto reason = config_current(now) ? rejection::unknown_queue : rejection::no_config;
    return unexpected{reject(reason, path.substr(path.rfind('/') + 1), now)};
}

std::optional<rejection> fleet_host::submit(std::uint64_t request, const queue_config& queue,
                                            job_request job, duration time_limit, time_point now)
{
    if (job.durable || job.repeated || job.perpetual || job.fills_leftover || queue.needs_advice)
        return reject(rejection::unsupported, job.job, now);
    if (cancelled_.contains(job.job, now)) {
        ++metrics_.counter("chivewharf_job_answers_total",
                           "answer=\"cancelled\",reason=\"cancelled_before\"");
        if (log_.should_log(job.job, now))
            log_line{"job_answered"}
                .add("job", job.job)
                .add("answer", to_name(job_answer::cancelled))
                .add("why", "cancelled_before")
                .write();
        callers_.answer(request, job_answer::cancelled, {});
        return std::nullopt;
    }
    wire::job_order order;
    order.job = std::move(job.job);
    order.queue = queue.name;
    order.service = queue.service;
    order.priority = queue.priority;
    order.max_attempts = queue.max_attempts;
    order.stretch = queue.stretch;
    order.target_ms = static_cast<std::uint32_t>(to_ms(queue.target));
    order.remaining_ms = static_cast<std::uint32_t>(to_ms(time_limit));
    order.payload = std::move(job.payload);
    order.steps = std::move(job.steps);
    router_->submit(request, std::move(order), now);
    return std::nullopt;
}

bool fleet_host::cancel(const std::string& job, time_point now)
{
    const bool known = router_->knows(job);
    apply_cancellation(job, self_.host, !known, now);
    // Any other host may have taken the job.
    if (!known)
        broadcast(wire::job_cancel{job, 0});
    return known;
}

void fleet_host::apply_cancellation(const std::string& job, const std::string& from, bool passed_on,
                                    time_point now)
{
    cancelled_.add(job, passed_on, now);
    router_->cancel(job, now);
    claims_.for_each_owner([&](shard_owner& owner) {
        // The host that waits for the job may not have heard of its cancellation.
        const auto requester = owner.cancel(job, now);
        if (requester && *requester != self_.host && *requester != from)
            peers_.send(*requester, wire::job_cancel{job, 0});
    });
}

void fleet_host::withdraw_owned(const std::string& job, const std::string& requester,
                                time_point now)
{
    claims_.for_each_owner([&](shard_owner& owner) { owner.withdraw(job, requester, now); });
}

std::vector<owner_view> fleet_host::owners(time_point now) const
{
    std::vector<owner_view> all;
    for (const auto& [shard, owned] : claims_.owned()) {
        if (!owned.owner->leaving() && !owned.fenced_at)
            all.push_back({shard, self_.host, self_.incarnation, owned.epoch,
                           owned.owner->takeover_complete(), owned.owner->free_milli(),
                           owned.owner->backlog(), owned.owner->workers_in_use(),
                           owned.owner->room(now), now});
    }
    for (const auto& [name, host] : directory_.hosts()) {
        if (!host.linked || !directory_.alive(host, now))
            continue;
        for (const auto& claim : host.report->claims) {
            // A leaving owner accepts jobs until a successor has claimed the shard.
            if (claim.leaving && claims_.claimed_by_staying_host(claim.shard, now))
                continue;
            const auto workers = host.workers.find(claim.shard);
            all.push_back({claim.shard, name, host.incarnation, claim.epoch,
                           claim.takeover_complete, claim.free_milli,
                           milliseconds{claim.backlog_ms},
                           workers == host.workers.end() ? nullptr : workers->second, claim.room,
                           host.reported});
        }
    }
    return all;
}

void fleet_host::drop_silent_hosts(time_point now)
{
    std::set<std::string> requesters;
    claims_.for_each_owner([&](const shard_owner& owner) { owner.collect_requesters(requesters); });
    directory_.set_requesters(requesters);
    directory_.set_owners_with_jobs(router_->owners_with_jobs(), now);
    std::vector<std::string> silent;
    std::vector<std::string> to_probe;
    for (const auto& [name, host] : directory_.hosts()) {
        if (directory_.silent(host, now) || directory_.unanswered(host, now))
            silent.push_back(name);
        else if (directory_.probe_due(host, now))
            to_probe.push_back(name);
    }
    // An empty list of hosts asks for a list, which every version sends at once.
    for (const auto& name : to_probe) {
        directory_.probe_sent(name, now);
        peers_.send(name, wire::host_records{});
    }
    for (const auto& name : silent) {
        log_line{"host_silent"}.add("host", name).write();
        peers_.drop(name);
    }
}

void fleet_host::catch_up(time_point now)
{
    if (pause_.paused(now))
        tick(now);
}

void fleet_host::find_who_is_left(duration pause)
{
    // Callers first: what arrives on the links could have their jobs sent again.
    const auto departures = callers_.report_departures();
    log_line{"paused"}
        .add("for_ms", to_ms(pause))
        .add("callers_left", std::uint64_t{departures})
        .add("jobs", std::uint64_t{router_->jobs()})
        .write();
    drop_links_with_jobs();
}

void fleet_host::drop_links_with_jobs()
{
    // The messages that have arrived meanwhile make their senders look alive, but these may have
    // given up this host. New links show which of them still count on it.
    std::vector<std::string> partners;
    for (const auto& [name, host] : directory_.hosts()) {
        if (host.linked && host.shares_jobs())
            partners.push_back(name);
    }
    for (const auto& name : partners)
        peers_.drop(name);
}

void fleet_host::tick(time_point now)
{
    if (const auto pause = pause_.tick(now))
        find_who_is_left(*pause);
    drop_silent_hosts(now);
    directory_.expire(now);
    cancelled_.expire(now);
    finished_.expire(now);
    claims_.update_workers(now);
    fetch_config(now);
    request_host_list(now);
    claims_.check(now);
    claims_.apply_drains(now);
    claims_.tick(now);
    router_->tick(now);
    claims_.interrupt(now);
    reports_.send_due(now);
}

bool fleet_host::ready(time_point now) const
{
    return !claims_.leaving() && config_current(now) && !owners(now).empty();
}

void fleet_host::leave(time_point end_by, time_point now)
{
    claims_.leave(end_by, now);
    router_->end_by(end_by);
    log_line{"leaving"}
        .add("shards", std::uint64_t{claims_.owned().size()})
        .add("jobs", std::uint64_t{router_->jobs()})
        .write();
    reports_.send_to_all(now);
}

void fleet_host::finish_leaving(time_point now)
{
    claims_.leave(now, now);
    router_->end_by(now);
    router_->tick(now);
    claims_.yield_all(now);
    pause_.stop();
}

bool fleet_host::drained() const
{
    return claims_.owned().empty() && router_->jobs() == 0;
}

} // namespace chivewharf::fleet
