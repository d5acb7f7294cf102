#include <dispatch/peer_service.h>

#include <algorithm>
#include <cmath>
#include <dispatch/peer_codec.h>

namespace chivewharf::dispatch {

namespace {

constexpr duration measure_interval = seconds{1};

/// Weight of the newest second in the exponentially smoothed usage, whose window is about 7 s. With
/// 0.3 the lag of the averages made shares oscillate: 34% error over 10 s under overload, against
/// 17%.
constexpr double usage_weight = 0.15;

} // namespace

peer_service::peer_service(identity self, std::string peer_address, task_dispatcher& dispatcher,
                           action_list& actions, metrics::registry& metrics, rng& random,
                           time_point now)
    : self_{std::move(self)}, dispatcher_{dispatcher}, actions_{actions}, random_{random},
      members_{{self_.domain, self_.host, std::move(peer_address)}, self_.incarnation, now},
      usage_{now}, next_measure_{now + measure_interval}, last_measure_{now},
      heartbeats_{metrics.counter("chivewharf_heartbeats_sent_total")},
      reports_{metrics.counter("chivewharf_member_reports_sent_total")},
      usage_messages_{metrics.counter("chivewharf_usage_messages_sent_total")},
      slot_messages_{metrics.counter("chivewharf_slot_messages_sent_total")},
      live_hosts_{metrics.gauge("chivewharf_live_entry_hosts")}
{
}

void peer_service::apply(const settings::cluster_settings& settings,
                         const customer_directory& customers, time_point now)
{
    customers_ = &customers;
    host_weights_.clear();
    std::vector<membership::known_host> configured_hosts;
    for (const auto& host : settings.entry_hosts) {
        host_weights_[host.name] = host.weight;
        if (host.domain != self_.domain || host.name != self_.host)
            configured_hosts.push_back({host.domain, host.name, to_text(host.peer_address)});
    }
    members_.set_configured_hosts(configured_hosts);
    members_changed(now);
}

void peer_service::apply_output(const membership::member_output& output, time_point now)
{
    // The probe of a suspected host must not use the link on which the host stopped responding.
    for (const auto& event : output.events) {
        if (event.change == membership::member_change::suspected)
            actions_.add(drop_link{event.host});
    }
    for (const auto& send : output.sends) {
        const bool is_heartbeat = std::holds_alternative<membership::heartbeat>(send.message);
        ++(is_heartbeat ? heartbeats_ : reports_);
        actions_.add(send_peer{send.host, to_wire(send.message)});
    }
    for (const auto& event : output.events) {
        log_line{"member_change"}
            .add("change", to_name(event.change))
            .add("host", event.host)
            .add("incarnation", std::uint64_t{event.incarnation})
            .write();
        superseded_ = superseded_ || event.change == membership::member_change::superseded;
    }
    if (!output.events.empty())
        members_changed(now);
}

void peer_service::members_changed(time_point now)
{
    std::vector<upstream::member> hosts;
    for (const auto& member : members_.members()) {
        const auto found = host_weights_.find(member.host);
        const double size = found == host_weights_.end() ? 1.0 : found->second;
        hosts.push_back({member.host, size * members_.weight(member.host, now), true});
    }
    dispatcher_.sharing().set_members(now, std::move(hosts));
    dispatcher_.limits().set_live_entry_hosts(static_cast<std::uint32_t>(members_.live_count()));
    live_hosts_ = static_cast<double>(members_.live_count());
}

std::vector<membership::member> peer_service::live_peers() const
{
    auto members = members_.members();
    std::erase_if(members, [this](const auto& member) { return member.host == self_.host; });
    return members;
}

void peer_service::on_membership(const peer_identity& from,
                                 const membership::member_message& message, time_point now)
{
    auto output = members_.receive({from.domain, from.host, {}}, from.incarnation, message, now);
    if (!output) {
        log_line{"membership_message_ignored"}
            .add("host", from.host)
            .add("error", to_name(output.error().code))
            .add("message", output.error().message)
            .warn();
        return;
    }
    apply_output(*output, now);
}

void peer_service::on_usage(const peer_identity& from, const wire::usage_average& message,
                            time_point now)
{
    const auto answer = usage_.receive(from.host, from_wire(message), now);
    if (!answer || !*answer)
        return;
    ++usage_messages_;
    actions_.add(send_peer{(*answer)->host, to_wire((*answer)->message)});
}

void peer_service::on_slot_request(const peer_identity& from, const wire::slot_request& message,
                                   time_point now)
{
    ++slot_messages_;
    const auto grant = dispatcher_.sharing().on_request(now, from.host, from_wire(message));
    actions_.add(send_peer{from.host, to_wire(grant)});
}

void peer_service::on_slot_grant(const peer_identity& from, const wire::slot_grant& message,
                                 time_point now)
{
    dispatcher_.sharing().on_grant(now, from.host, from_wire(message), random_);
}

void peer_service::on_slot_return(const peer_identity& from, const wire::slot_return& message,
                                  time_point now)
{
    dispatcher_.sharing().on_return(now, from.host, from_wire(message));
}

void peer_service::tick(time_point now)
{
    apply_output(members_.tick(now, random_), now);
    if (now >= next_measure_) {
        next_measure_ = now + measure_interval;
        measure_usage(now);
        charge_usage(now);
        // The weights of joining hosts increase over time.
        members_changed(now);
        last_measure_ = now;
    }
    std::vector<std::string> peers;
    for (const auto& member : live_peers())
        peers.push_back(member.host);
    if (auto exchange = usage_.tick(peers, now, random_)) {
        ++usage_messages_;
        usage_partner_ = exchange->host;
        actions_.add(send_peer{exchange->host, to_wire(exchange->message)});
    }
}

void peer_service::measure_usage(time_point now)
{
    const double elapsed = std::max(to_seconds(now - last_measure_), 1e-3);
    for (const auto& [customer, total] : dispatcher_.usage()) {
        const double used = (total - last_usage_[customer]) / elapsed;
        last_usage_[customer] = total;
        auto& rate = own_rate_[customer];
        rate += usage_weight * (used - rate);
        // Negligible usage is reported as zero, which keeps the exchanged vectors short.
        if (rate < 0.001)
            rate = 0;
        (void)usage_.set_own(customers_->name(customer), rate);
    }
}

void peer_service::charge_usage(time_point now)
{
    const auto live = members_.live_count();
    if (live < 2 || customers_ == nullptr)
        return;
    const double elapsed = to_seconds(now - last_measure_);
    for (sched::customer_id customer = 0; !customers_->name(customer).empty(); ++customer) {
        const double domain = usage_.domain_usage(customers_->name(customer), live, now);
        const auto found = own_rate_.find(customer);
        const double own = found == own_rate_.end() ? 0 : found->second;
        const double remote = std::max(0.0, domain - own);
        if (remote > 0)
            dispatcher_.charge_remote(customer, remote * elapsed);
        dispatcher_.limits().set_remote_running(customer,
                                                static_cast<std::uint32_t>(std::lround(remote)));
        // Half of the rate is split equally, half by usage; the shares of all hosts add up to 1.
        const double equal_share = 1.0 / static_cast<double>(live);
        const double usage_share = domain > 0 ? std::min(1.0, own / domain) : equal_share;
        dispatcher_.limits().set_rate_share(customer, 0.5 * equal_share + 0.5 * usage_share, now);
    }
}

void peer_service::share_slots(time_point now)
{
    for (auto& outgoing : dispatcher_.sharing().tick(now, random_)) {
        ++slot_messages_;
        actions_.add(send_peer{
            std::move(outgoing.to),
            std::visit([](const auto& message) { return wire::message{to_wire(message)}; },
                       outgoing.message)});
    }
}

double peer_service::domain_usage(std::string_view customer, time_point now) const
{
    return usage_.domain_usage(customer, members_.live_count(), now);
}

} // namespace chivewharf::dispatch
