#include <dispatch/entry_host.h>

#include <algorithm>
#include <dispatch/overloaded.h>
#include <dispatch/peer_codec.h>
#include <dispatch/status_report.h>

namespace chivewharf::dispatch {

namespace {

constexpr duration peer_interval = milliseconds{100};
constexpr duration slot_interval = milliseconds{20};
constexpr duration ownership_interval = milliseconds{250};
constexpr duration config_interval = seconds{1};

} // namespace

/// Resolves the circular dependency between the service, which replies through the router, and the
/// router, which calls the service.
class entry_host::reply_relay final : public reply_sink {
public:
    void connect(reply_sink& target) { target_ = &target; }
    void reply(submission::waiter who, caller_answer answer) override
    {
        target_->reply(who, std::move(answer));
    }

private:
    reply_sink* target_ = nullptr;
};

submission::table_options entry_host::table_options_of(const settings::cluster_settings& settings)
{
    submission::table_options options;
    options.answer_retention = settings.policy.answer_retention;
    options.id_lifetime = settings.policy.id_lifetime;
    options.max_entries = static_cast<std::size_t>(settings.policy.table_max_entries);
    options.max_bytes = static_cast<std::size_t>(settings.policy.table_max_bytes);
    options.answer_reserve = std::min(options.answer_reserve, options.max_bytes / 4);
    return options;
}

submission::id_issuer entry_host::make_issuer(const identity& self, duration id_lifetime)
{
    // The names were validated with the settings, so this cannot fail.
    return *submission::id_issuer::make(self.domain, self.host, self.incarnation, id_lifetime);
}

entry_host::entry_host(identity self, std::string peer_address,
                       std::shared_ptr<const settings::cluster_settings> settings,
                       metrics::registry& metrics, std::uint64_t seed, time_point now,
                       policy_options options)
    : self_{std::move(self)}, settings_{std::move(settings)}, metrics_{metrics}, random_{seed},
      issuer_{make_issuer(self_, settings_->policy.id_lifetime)}, table_{table_options_of(
                                                                      *settings_)},
      ownership_{self_, issuer_,  ownership_service::options_of(settings_->policy),
                 now,   actions_, metrics},
      relay_{std::make_unique<reply_relay>()}, service_{table_, ownership_, *relay_, metrics},
      dispatcher_{table_, ownership_, service_, metrics, actions_, random_, self_, options},
      spills_{table_, dispatcher_, actions_, metrics}, peers_{self_,       std::move(peer_address),
                                                              dispatcher_, actions_,
                                                              metrics,     random_,
                                                              now},
      router_{self_, service_, ownership_, peers_.members(), actions_, metrics},
      config_{self_, settings_->site, settings_->policy.log_retention, actions_, metrics, random_}
{
    relay_->connect(router_);
    service_.connect(dispatcher_);
    dispatcher_.set_spill_observer(spills_);
    apply(settings_, {now, 0}, time_point::max());
}

entry_host::~entry_host() = default;

void entry_host::apply(std::shared_ptr<const settings::cluster_settings> settings,
                       clock_reading now, time_point may_claim_from)
{
    settings_ = std::move(settings);
    customers_.apply(*settings_);
    service_.apply(settings_, customers_);
    router_.apply(settings_);
    spills_.apply(customers_);
    dispatcher_.apply(*settings_, customers_, self_.domain, now.boot);
    peers_.apply(*settings_, customers_, now.boot);
    ownership_.apply(*settings_, may_claim_from);
    after_event(now);
}

void entry_host::use_initial_settings(clock_reading now)
{
    set_ready();
    ownership_.apply(*settings_, time_point::min());
    after_event(now);
}

void entry_host::set_ready()
{
    in_force_ = true;
    router_.set_ready();
    spills_.set_ready();
}

void entry_host::put_in_force(config_change change, clock_reading now)
{
    log_line{"config_in_force"}.add("version", change.version).write();
    // A newly configured host may claim ownership slots only after `new_host_wait`. By then an
    // owner that cannot read the log has stopped using its slots.
    auto may_claim_from = time_point::min();
    const auto wait = change.settings.policy.new_host_wait;
    if (!change.configured_since_known)
        may_claim_from = now.boot + wait;
    else if (change.configured_since)
        may_claim_from = now.boot + wait - milliseconds{now.wall - *change.configured_since};
    set_ready();
    apply(std::make_shared<const settings::cluster_settings>(std::move(change.settings)), now,
          may_claim_from);
    if (on_applied_)
        on_applied_();
}

void entry_host::config_was_read(const config_read& read, clock_reading now)
{
    if (auto change = config_.on_read(read))
        put_in_force(std::move(*change), now);
}

void entry_host::announce_version(clock_reading now)
{
    // The version goes to the partner of the usage exchange, because that link is in use anyway.
    std::vector<std::string> peers;
    if (peers_.live_peers().empty())
        peers = configured_peers();
    else if (!peers_.usage_partner().empty())
        peers.push_back(peers_.usage_partner());
    std::vector<std::string> remote_hosts;
    for (const auto& domain : peers_.members().other_domains()) {
        for (const auto& host : peers_.members().links_to(domain, 1))
            remote_hosts.push_back(host.host);
    }
    config_.tick(now.wall, peers, remote_hosts);
}

std::vector<std::string> entry_host::configured_peers() const
{
    std::vector<std::string> peers;
    for (const auto& host : settings_->entry_hosts) {
        if (host.domain == self_.domain && host.name != self_.host)
            peers.push_back(host.name);
    }
    return peers;
}

std::vector<std::string> entry_host::issue_ids(std::size_t count, clock_reading now)
{
    return issuer_.issue_block(count, now.boot, now.wall);
}

void entry_host::after_event(clock_reading now)
{
    dispatcher_.start_queued_tasks(now);
}

void entry_host::request(caller_request request, clock_reading now)
{
    if (!in_force_) {
        metrics_.reasons("chivewharf_refusals_total").add(reason::not_ready);
        actions_.add(answer_caller{
            request.who, render_refusal(reason::not_ready, work_state::may_have_run, request.id,
                                        "no configuration is in force yet", seconds{1})});
        return;
    }
    router_.request(std::move(request), now.boot);
    after_event(now);
}

void entry_host::caller_gone(submission::waiter who, clock_reading /*now*/)
{
    router_.remove_waiter(who);
}

bool entry_host::confirm_start(call_id call, time_point now) const
{
    return dispatcher_.confirm_start(call, now);
}

void entry_host::task_ended(call_id call, call_report report, clock_reading now)
{
    dispatcher_.task_ended(call, std::move(report), now.boot);
    after_event(now);
}

void entry_host::platform_hosts(const upstream::platform_list& workers,
                                const std::vector<membership::known_host>& hosts, clock_reading now)
{
    dispatcher_.pool().apply_list(now.boot, workers);
    peers_.set_platform_hosts(hosts);
    after_event(now);
}

void entry_host::peer_up(const std::string& host, clock_reading now)
{
    router_.peer_up(host, now.boot);
    after_event(now);
}

void entry_host::peer_down(const std::string& host, clock_reading now)
{
    router_.peer_down(host);
    dispatcher_.peer_down(host, now.boot);
    after_event(now);
}

void entry_host::peer_message(const peer_identity& from, wire::message message, clock_reading now)
{
    const auto at = now.boot;
    const overloaded handle{
        [&](wire::forward& m) { router_.on_forward(from.host, std::move(m), at); },
        [&](wire::forward_answer& m) { router_.on_answer(from.host, std::move(m), at); },
        [&](wire::heartbeat& m) { peers_.on_membership(from, from_wire(m), at); },
        [&](wire::member_report& m) { peers_.on_membership(from, from_wire(m), at); },
        [&](wire::usage_average& m) { peers_.on_usage(from, m, at); },
        [&](wire::slot_request& m) { peers_.on_slot_request(from, m, at); },
        [&](wire::slot_grant& m) { peers_.on_slot_grant(from, m, at); },
        [&](wire::slot_return& m) { peers_.on_slot_return(from, m, at); },
        [&](wire::promise_request& m) { ownership_.on_promise_request(from.host, m, at); },
        [&](wire::promise& m) { ownership_.on_promise(m, at); },
        [&](wire::handover_records& m) {
            ownership_.on_handover_records(from.host, m, table_, at);
        },
        [&](wire::config_version& m) {
            config_.on_version(from.host, m);
            if (from.domain != self_.domain)
                actions_.add(send_peer{from.host, dispatcher_.load_report()});
        },
        [&](wire::load_report& m) { dispatcher_.targets().report(from.host, m, at); },
        [&](wire::spill_task& m) {
            spills_.on_task(from.host, from.incarnation, std::move(m), at);
        },
        [&](wire::spill_answer& m) { dispatcher_.spill_answered(from.host, std::move(m), at); },
        [&](wire::config_request& m) { config_.on_request(from.host, m); },
        [&](wire::config_record& m) {
            if (auto change = config_.on_record(m))
                put_in_force(std::move(*change), now);
        },
        [](auto& /*other*/) {}, // hello, proof and ping are handled by the link
    };
    std::visit(handle, message);
    after_event(now);
}

void entry_host::ownership_read(const ownership::log_read& read, clock_reading now)
{
    fail_lost_slots(ownership_.on_log(read, now.boot), now.boot);
    ownership_.tick(now.boot);
    after_event(now);
}

void entry_host::append_ended(const std::string& stream, const std::string& record_id,
                              ownership::append_outcome outcome, clock_reading now)
{
    if (stream == ownership_.stream())
        ownership_.on_append(record_id, outcome, now.boot);
}

void entry_host::fail_lost_slots(const std::vector<unsigned>& lost, time_point now)
{
    for (const auto slot : lost) {
        for (const auto& record : table_.export_slot(static_cast<std::uint8_t>(slot))) {
            if (table_.request(record.key) != nullptr)
                dispatcher_.fail(record.key, reason::ownership_unproved,
                                 "another entry host owns the id's slot now", now);
        }
    }
}

void entry_host::tick(clock_reading now)
{
    const auto at = now.boot;
    dispatcher_.tick(at);
    service_.tick(at);
    router_.tick(at);
    if (at >= next_peer_tick_) {
        next_peer_tick_ = at + peer_interval;
        peers_.tick(at);
    }
    if (at >= next_ownership_tick_) {
        next_ownership_tick_ = at + ownership_interval;
        std::vector<std::string> live;
        for (const auto& member : peers_.live_peers())
            live.push_back(member.host);
        ownership_.set_live_hosts(std::move(live));
        ownership_.tick(at);
    }
    if (at >= next_config_tick_) {
        next_config_tick_ = at + config_interval;
        announce_version(now);
    }
    dispatcher_.start_queued_tasks(now);
    if (at >= next_slot_tick_) {
        next_slot_tick_ = at + slot_interval;
        peers_.share_slots(at);
        dispatcher_.start_queued_tasks(now);
    }
}

time_point entry_host::next_tick(time_point /*now*/) const
{
    auto next = std::min({next_peer_tick_, next_slot_tick_, next_ownership_tick_});
    for (const auto& due : {dispatcher_.next_due(), service_.next_due(), router_.next_due()}) {
        if (due)
            next = std::min(next, *due);
    }
    return next;
}

bool entry_host::drain_worker(const std::string& name, bool drained, clock_reading now)
{
    const bool known = dispatcher_.pool().set_drained(name, drained).has_value();
    after_event(now);
    return known;
}

void entry_host::begin_drain(clock_reading /*now*/)
{
    draining_ = true;
    service_.begin_drain();
    spills_.begin_drain();
}

bool entry_host::awaits(const std::string& host) const
{
    return router_.awaits(host) || spills_.awaits(host) || dispatcher_.targets().awaits(host);
}

bool entry_host::drained() const
{
    return draining_ && in_flight() == 0;
}

std::size_t entry_host::in_flight() const
{
    return dispatcher_.calls_in_flight() + dispatcher_.queued_tasks() + service_.waiting() +
           router_.forwarded() + router_.serving_peers() + spills_.serving();
}

void entry_host::hand_over(clock_reading now)
{
    std::vector<ownership::incarnation_id> successors;
    for (const auto& member : peers_.live_peers())
        successors.push_back({member.host, member.incarnation});
    ownership_.hand_over(successors, table_, now.boot);
}

std::string entry_host::status_json()
{
    const status_facts facts{self_,       config_.version(), draining_,
                             in_flight(), table_.size(),     ownership_.owned_slots()};
    return status_report(facts, dispatcher_, peers_);
}

std::string entry_host::submission_json(std::string_view customer, std::string_view id,
                                        time_point now) const
{
    return submission_report(table_, customer, id, now);
}

std::optional<std::string> entry_host::customer_json(std::string_view customer,
                                                     time_point now) const
{
    const auto number = customers_.number(customer);
    if (!number)
        return std::nullopt;
    return customer_report(dispatcher_, peers_, customer, *number, now);
}

} // namespace chivewharf::dispatch
