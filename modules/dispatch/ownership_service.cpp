#include <dispatch/ownership_service.h>

#include <algorithm>
#include <dispatch/handover_codec.h>

namespace chivewharf::dispatch {

using ownership::slot_verdict;

namespace {

std::vector<wire::slot_epoch> to_wire(const std::vector<ownership::slot_epoch>& slots)
{
    std::vector<wire::slot_epoch> out;
    out.reserve(slots.size());
    for (const auto& slot : slots)
        out.push_back({static_cast<std::uint16_t>(slot.slot), slot.epoch});
    return out;
}

std::vector<ownership::slot_epoch> from_wire(const std::vector<wire::slot_epoch>& slots)
{
    std::vector<ownership::slot_epoch> out;
    out.reserve(slots.size());
    for (const auto& slot : slots)
        out.push_back({slot.slot, slot.epoch});
    return out;
}

} // namespace

ownership::ownership_options ownership_service::options_of(const settings::policy_settings& policy)
{
    ownership::ownership_options options;
    options.lease = policy.lease;
    options.renew_interval = policy.lease_renew;
    options.renew_retry = std::min(options.renew_retry, policy.lease_renew / 5);
    options.clock_drift = policy.clock_drift;
    options.claim_margin = policy.claim_margin;
    options.id_lifetime = policy.id_lifetime;
    options.promise_hold = policy.promise;
    options.promise_interval = policy.promise_renew;
    // Promises are requested once a renewal is overdue; most of the lease then remains to collect
    // them.
    options.promise_after = policy.lease_renew + (policy.lease - policy.lease_renew) / 6;
    options.max_log_silence = policy.unreadable_log_limit;
    options.new_host_wait = policy.new_host_wait;
    return options;
}

ownership_service::ownership_service(identity self, const submission::id_issuer& issuer,
                                     const ownership::ownership_options& options,
                                     time_point started, action_list& actions,
                                     metrics::registry& metrics)
    : self_{std::move(self)}, issuer_{issuer}, actions_{actions},
      owner_{{self_.host, self_.incarnation}, started, options}, stream_{"ownership." +
                                                                         self_.domain},
      claims_{metrics.counter("chivewharf_ownership_appends_total")},
      promise_requests_{metrics.counter("chivewharf_promise_requests_total")}
{
}

void ownership_service::apply(const settings::cluster_settings& settings, time_point may_claim_from)
{
    other_configured_hosts_.clear();
    for (const auto& host : settings.entry_hosts) {
        if (host.domain == self_.domain && host.name != self_.host)
            other_configured_hosts_.push_back(host.name);
    }
    // These settings cannot change at run time, so only the first configuration changes them.
    owner_.set_options(options_of(settings.policy));
    owner_.set_configured_hosts(other_configured_hosts_, may_claim_from);
}

void ownership_service::set_live_hosts(std::vector<std::string> others)
{
    owner_.set_live_hosts(std::move(others));
}

std::vector<unsigned> ownership_service::on_log(const ownership::log_read& read, time_point now)
{
    auto changes = owner_.on_log(read, now);
    for (const auto& [offset, text] : read.records) {
        if (const auto record = ownership::decode(text))
            handovers_.erase(record->record_id);
    }
    return changes.lost;
}

void ownership_service::on_append(const std::string& record_id, ownership::append_outcome outcome,
                                  time_point now)
{
    owner_.on_append(record_id, outcome, now);
    const auto handover = handovers_.find(record_id);
    if (handover == handovers_.end())
        return;
    if (outcome == ownership::append_outcome::not_written)
        actions_.add(append_record{stream_, record_id, handover->second});
    else if (outcome == ownership::append_outcome::written)
        handovers_.erase(handover);
}

void ownership_service::tick(time_point now)
{
    auto wanted = owner_.poll(now);
    for (auto& append : wanted.appends) {
        ++claims_;
        actions_.add(append_record{stream_, append.record_id, std::move(append.text)});
    }
    if (!wanted.promise_request_to_send)
        return;
    for (const auto& host : other_configured_hosts_) {
        ++promise_requests_;
        actions_.add(send_peer{
            host, wire::promise_request{
                      wanted.promise_request_to_send->owner.host,
                      wanted.promise_request_to_send->owner.incarnation,
                      to_wire(wanted.promise_request_to_send->slots),
                      wanted.promise_request_to_send->requested_at.time_since_epoch().count()}});
    }
}

void ownership_service::on_promise_request(const std::string& from,
                                           const wire::promise_request& request, time_point now)
{
    const ownership::promise_request asked{{request.host, request.incarnation},
                                           from_wire(request.slots),
                                           time_point{duration{request.asked_at_ns}}};
    const auto given = owner_.on_promise_request(asked, now);
    actions_.add(
        send_peer{from, wire::promise{self_.host, to_wire(given.slots), request.asked_at_ns}});
}

void ownership_service::on_promise(const wire::promise& given, time_point now)
{
    owner_.on_promise(
        {given.configured_host, from_wire(given.slots), time_point{duration{given.asked_at_ns}}},
        now);
}

void ownership_service::on_handover_records(const std::string& /*from*/,
                                            const wire::handover_records& part,
                                            submission::submission_table& table, time_point now)
{
    if (part.slot >= ownership::slot_count)
        return;
    const auto decoded = decode_records(part.body);
    const std::pair at{part.slot, part.epoch};
    // If a part was lost with its link, the records are incomplete and the quarantine stays in
    // effect.
    const auto expected = next_parts_.find(at);
    const bool in_order =
        decoded && decoded->number == (expected == next_parts_.end() ? 0 : expected->second);
    next_parts_.erase(at);
    if (!in_order)
        return;
    for (const auto& record : decoded->records) {
        if (!table.import(record, now))
            return;
    }
    if (part.last)
        owner_.on_handover_records({part.slot, part.epoch}, milliseconds{part.quarantine_ms}, now);
    else
        next_parts_[at] = decoded->number + 1;
}

void ownership_service::hand_over(const std::vector<ownership::incarnation_id>& successors,
                                  const submission::submission_table& table, time_point now)
{
    owner_.stop_claiming();
    if (successors.empty())
        return;
    const auto owned = owner_.own_slots();
    for (std::size_t first = 0; first < std::min(successors.size(), owned.size()); ++first) {
        std::vector<unsigned> slots;
        for (auto i = first; i < owned.size(); i += successors.size())
            slots.push_back(owned[i].slot);
        auto append = owner_.hand_over(slots, successors[first]);
        if (!append)
            continue;
        for (const auto slot : slots)
            send_records(slot, successors[first].host, table, now);
        handovers_.emplace(append->record_id, append->text);
        actions_.add(append_record{stream_, append->record_id, std::move(append->text)});
    }
}

void ownership_service::send_records(unsigned slot, const std::string& to,
                                     const submission::submission_table& table, time_point now)
{
    const auto quarantine = static_cast<std::uint32_t>(to_ms(owner_.quarantine_left(slot, now)));
    for (auto& body : encode_records(table.export_slot(static_cast<std::uint8_t>(slot)))) {
        actions_.add(send_peer{to, wire::handover_records{static_cast<std::uint16_t>(slot),
                                                          owner_.own_epoch(slot), quarantine,
                                                          body.last, std::move(body.text)}});
    }
}

std::string ownership_service::owner_host(unsigned slot) const
{
    const auto& state = owner_.log().slot(slot);
    return state.epoch == 0 ? std::string{} : state.owner.host;
}

id_verdict ownership_service::check_id(const submission::submission_id& id,
                                       std::string_view customer, time_point now) const
{
    if (!id.issued())
        return check_slot(id.slot(customer), now);
    const auto standing = issuer_.check(*id.issued(), now);
    id_verdict verdict;
    verdict.may_start = standing == submission::id_standing::valid;
    verdict.refusal = submission::refusal_for(standing);
    return verdict;
}

id_verdict ownership_service::check_slot(unsigned slot, time_point now) const
{
    id_verdict verdict;
    verdict.slot = static_cast<std::uint8_t>(slot);
    verdict.epoch = owner_.own_epoch(slot);
    const auto standing = owner_.may_admit(slot, now);
    verdict.may_start = standing == slot_verdict::proved;
    verdict.refusal = {ownership::refusal_reason(standing), work_state::may_have_run};
    return verdict;
}

bool ownership_service::may_start(std::uint8_t slot, std::uint64_t epoch, time_point now) const
{
    if (slot == submission::no_slot)
        return true;
    const auto verdict = owner_.may_start(slot, epoch, now);
    return verdict == slot_verdict::proved || verdict == slot_verdict::quarantined;
}

time_point ownership_service::start_limit(std::uint8_t slot) const
{
    return slot == submission::no_slot ? time_point::max() : owner_.proved_until(slot);
}

} // namespace chivewharf::dispatch
