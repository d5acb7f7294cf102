#include <ownership/slot_owner.h>

#include <algorithm>
#include <utility>

namespace chivewharf::ownership {

slot_owner::slot_owner(incarnation_id self, time_point started, ownership_options options)
    : self_{std::move(self)}, started_{started}, options_{options}
{
}

duration slot_owner::with_drift(duration d) const
{
    return d + from_seconds(to_seconds(d) * options_.clock_drift);
}

void slot_owner::set_configured_hosts(std::vector<std::string> others, time_point may_claim_from)
{
    configured_hosts_ = std::move(others);
    configured_hosts_known_ = true;
    may_claim_from_ = may_claim_from;
}

void slot_owner::set_live_hosts(std::vector<std::string> others)
{
    live_hosts_ = std::move(others);
}

// Log.

ownership_changes slot_owner::on_log(const log_read& read, time_point now)
{
    ownership_changes changes;
    if (log_.note_first_offset(read.first)) {
        // The missed records may contain a claim of another host.
        for (unsigned slot = 0; slot < slot_count; ++slot) {
            end_ownership(slot, changes);
            slots_[slot].last_record_read = now;
        }
    }
    for (const auto& [offset, text] : read.records)
        apply_record(log_.apply(offset, text), now, changes);
    if (read.reached_end) {
        last_read_to_end_ = std::max(last_read_to_end_, read.requested_at);
        drop_settled_appends();
    }
    return changes;
}

void slot_owner::apply_record(const applied_record& applied, time_point now,
                              ownership_changes& changes)
{
    if (!applied.record)
        return;
    for (const auto slot : applied.slots)
        slots_[slot].last_record_read = now;
    const auto& body = applied.record->body;
    if (const auto* claim = std::get_if<claim_record>(&body); claim && !applied.slots.empty())
        apply_claim(*claim, applied, now, changes);
    if (const auto* handover = std::get_if<handover_record>(&body)) {
        for (const auto& at : handover->slots) {
            if (std::count(applied.slots.begin(), applied.slots.end(), at.slot) > 0)
                apply_handover(at, handover->to, now, changes);
        }
    }
    const auto own_append = pending_.find(applied.record->record_id);
    if (own_append == pending_.end())
        return;
    for (const auto slot : applied.slots)
        extend_lease(slot, own_append->second.sent);
    if (!own_append->second.claim)
        next_renewal_ = own_append->second.sent + options_.renew_interval;
    pending_.erase(own_append);
}

void slot_owner::apply_claim(const claim_record& claim, const applied_record& applied,
                             time_point now, ownership_changes& changes)
{
    end_ownership(claim.at.slot, changes);
    if (claim.owner != self_)
        return;
    if (own_slots().empty())
        next_renewal_ = now + options_.renew_interval;
    begin_ownership(claim.at.slot, claim.at.epoch,
                    applied.first_owned.empty() ? now + options_.id_lifetime : time_point::min());
    changes.gained.push_back(claim.at.slot);
}

void slot_owner::apply_handover(const slot_epoch& at, const incarnation_id& to, time_point now,
                                ownership_changes& changes)
{
    end_ownership(at.slot, changes);
    if (to != self_)
        return;
    const slot_info& slot = slots_[at.slot];
    begin_ownership(at.slot, at.epoch + 1,
                    slot.received == at ? slot.received_quarantine : now + options_.id_lifetime);
    // A handover starts no lease, because this incarnation did not read its clock before the
    // append. Renew at once.
    next_renewal_ = now;
    changes.gained.push_back(at.slot);
}

void slot_owner::begin_ownership(unsigned slot, std::uint64_t epoch, time_point quarantine_until)
{
    slot_info& info = slots_[slot];
    info.epoch = epoch;
    info.handed_over = false;
    info.proof_until = time_point::min();
    info.lease_start = time_point::min();
    info.quarantine_until = quarantine_until;
}

void slot_owner::end_ownership(unsigned slot, ownership_changes& changes)
{
    if (std::exchange(slots_[slot].epoch, 0) != 0)
        changes.lost.push_back(slot);
}

void slot_owner::extend_lease(unsigned slot, time_point sent)
{
    slot_info& info = slots_[slot];
    if (info.epoch == 0 || info.handed_over)
        return;
    info.lease_start = std::max(info.lease_start, sent);
    info.proof_until = std::max(info.proof_until, sent + options_.lease);
}

void slot_owner::drop_settled_appends()
{
    std::erase_if(pending_, [this](const auto& entry) {
        return entry.second.sent + options_.append_settle <= last_read_to_end_;
    });
}

void slot_owner::on_append(const std::string& record_id, append_outcome outcome, time_point now)
{
    const auto found = pending_.find(record_id);
    if (found == pending_.end() || outcome == append_outcome::written)
        return;
    if (!found->second.claim)
        next_renewal_ = std::min(next_renewal_, now + options_.renew_retry);
    if (outcome == append_outcome::not_written)
        pending_.erase(found);
}

// Actions.

ownership_actions slot_owner::poll(time_point now)
{
    ownership_actions out;
    extend_by_promises(now);
    poll_renewal(now, out);
    poll_claims(now, out);
    poll_promises(now, out);
    return out;
}

std::string slot_owner::next_record_id()
{
    return self_.host + '-' + std::to_string(self_.incarnation) + '-' +
           std::to_string(++record_count_);
}

append_action slot_owner::make_append(ownership_record record, std::optional<unsigned> claim,
                                      time_point now)
{
    record.record_id = next_record_id();
    pending_[record.record_id] = {now, claim};
    return {record.record_id, encode(record)};
}

void slot_owner::poll_renewal(time_point now, ownership_actions& out)
{
    if (now < next_renewal_)
        return;
    renew_record renew{self_, {}};
    for (const slot_epoch& at : own_slots()) {
        if (!slots_[at.slot].handed_over)
            renew.slots.push_back(at);
    }
    if (renew.slots.empty())
        return;
    next_renewal_ = now + options_.renew_interval;
    out.appends.push_back(make_append({{}, std::move(renew)}, std::nullopt, now));
}

bool slot_owner::claim_pending(unsigned slot) const
{
    return std::any_of(pending_.begin(), pending_.end(),
                       [slot](const auto& entry) { return entry.second.claim == slot; });
}

std::size_t slot_owner::claim_rank(unsigned slot) const
{
    const auto own_weight = stable_hash(self_.host, slot);
    const auto higher_ranked = static_cast<std::size_t>(
        std::count_if(live_hosts_.begin(), live_hosts_.end(),
                      [&](const auto& host) { return stable_hash(host, slot) > own_weight; }));
    return std::min(higher_ranked, options_.max_claim_rank);
}

bool slot_owner::claimable(unsigned slot, time_point now) const
{
    const slot_info& info = slots_[slot];
    if (info.epoch != 0 || now < info.promised_until || claim_pending(slot))
        return false;
    const auto wait = with_drift(options_.lease) + options_.claim_margin;
    const bool never_owned = log_.slot(slot).epoch == 0 && log_.complete();
    auto ready = started_ + (never_owned ? with_drift(options_.promise_hold) : wait);
    if (!never_owned && info.last_record_read != time_point::min())
        ready = std::max(ready, info.last_record_read + wait);
    ready += claim_rank(slot) * options_.claim_stagger;
    // Only a read that started after the wait shows that no renewal was written during the wait.
    return last_read_to_end_ >= ready && now - last_read_to_end_ <= options_.claim_view_age;
}

void slot_owner::poll_claims(time_point now, ownership_actions& out)
{
    if (!claims_enabled_ || now < may_claim_from_)
        return;
    auto in_flight = static_cast<std::size_t>(
        std::count_if(pending_.begin(), pending_.end(),
                      [](const auto& entry) { return entry.second.claim.has_value(); }));
    for (unsigned slot = 0; slot < slot_count && in_flight < options_.max_claims_in_flight;
         ++slot) {
        if (!claimable(slot, now))
            continue;
        const claim_record claim{{slot, log_.claim_epoch(slot)}, self_};
        out.appends.push_back(make_append({{}, claim}, slot, now));
        ++in_flight;
    }
}

// Promises.

void slot_owner::poll_promises(time_point now, ownership_actions& out)
{
    if (configured_hosts_.empty() || now < next_promise_request_)
        return;
    promise_request request{self_, {}, now};
    for (const slot_epoch& at : own_slots()) {
        const slot_info& info = slots_[at.slot];
        const bool needed = !info.handed_over && now < info.proof_until &&
                            info.lease_start + options_.promise_after <= now;
        if (needed)
            request.slots.push_back(at);
    }
    if (request.slots.empty())
        return;
    next_promise_request_ = now + options_.promise_interval;
    out.promise_request_to_send = std::move(request);
}

promise slot_owner::on_promise_request(const promise_request& request, time_point now)
{
    promise given{self_.host, {}, request.requested_at};
    for (const slot_epoch& at : request.slots) {
        if (at.slot >= slot_count || slots_[at.slot].epoch != 0 || claim_pending(at.slot))
            continue;
        const slot_state& state = log_.slot(at.slot);
        const bool superseded =
            state.epoch > at.epoch || (state.epoch == at.epoch && state.owner != request.owner);
        if (superseded)
            continue;
        slot_info& info = slots_[at.slot];
        info.promised_until =
            std::max(info.promised_until, now + with_drift(options_.promise_hold));
        given.slots.push_back(at);
    }
    return given;
}

void slot_owner::on_promise(const promise& given, time_point now)
{
    auto [found, added] = promises_.try_emplace(given.host);
    if (added)
        found->second.fill(time_point::min());
    for (const slot_epoch& at : given.slots) {
        if (at.slot >= slot_count || slots_[at.slot].epoch != at.epoch)
            continue;
        auto& until = found->second[at.slot];
        until = std::max(until, given.requested_at + options_.promise_hold);
    }
    extend_by_promises(now);
}

void slot_owner::extend_by_promises(time_point now)
{
    if (!configured_hosts_known_)
        return;
    for (unsigned slot = 0; slot < slot_count; ++slot) {
        slot_info& info = slots_[slot];
        // Promises that start after the proof ended do not exclude a claim made in between.
        if (info.epoch == 0 || info.handed_over || now >= info.proof_until)
            continue;
        auto until = last_read_to_end_ + options_.max_log_silence;
        for (const auto& host : configured_hosts_) {
            const auto found = promises_.find(host);
            until =
                std::min(until, found == promises_.end() ? time_point::min() : found->second[slot]);
        }
        info.proof_until = std::max(info.proof_until, until);
    }
}

// Verdicts.

slot_verdict slot_owner::may_admit(unsigned slot, time_point now) const
{
    const slot_info& info = slots_.at(slot);
    if (info.epoch == 0)
        return slot_verdict::not_owner;
    if (info.handed_over || now >= info.proof_until)
        return slot_verdict::unproved;
    return now < info.quarantine_until ? slot_verdict::quarantined : slot_verdict::proved;
}

slot_verdict slot_owner::may_start(unsigned slot, std::uint64_t epoch, time_point now) const
{
    if (slots_.at(slot).epoch != 0 && slots_.at(slot).epoch != epoch)
        return slot_verdict::unproved;
    return may_admit(slot, now);
}

time_point slot_owner::proved_until(unsigned slot) const
{
    const slot_info& info = slots_.at(slot);
    return info.epoch == 0 || info.handed_over ? time_point::min() : info.proof_until;
}

std::uint64_t slot_owner::own_epoch(unsigned slot) const
{
    return slots_.at(slot).epoch;
}

duration slot_owner::quarantine_left(unsigned slot, time_point now) const
{
    const auto until = slots_.at(slot).quarantine_until;
    return until <= now ? duration::zero() : until - now;
}

std::vector<slot_epoch> slot_owner::own_slots() const
{
    std::vector<slot_epoch> owned;
    for (unsigned slot = 0; slot < slot_count; ++slot) {
        if (slots_[slot].epoch != 0)
            owned.push_back({slot, slots_[slot].epoch});
    }
    return owned;
}

// Handover.

std::optional<append_action> slot_owner::hand_over(const std::vector<unsigned>& slots,
                                                   const incarnation_id& to)
{
    handover_record handover{{}, self_, to};
    for (const auto slot : slots) {
        slot_info& info = slots_.at(slot);
        if (info.epoch == 0)
            continue;
        info.handed_over = true;
        handover.slots.push_back({slot, info.epoch});
    }
    if (handover.slots.empty())
        return std::nullopt;
    ownership_record record{next_record_id(), std::move(handover)};
    return append_action{record.record_id, encode(record)};
}

void slot_owner::on_handover_records(const slot_epoch& at, duration quarantine, time_point now)
{
    slot_info& info = slots_.at(at.slot);
    info.received = at;
    info.received_quarantine = now + quarantine;
}

} // namespace chivewharf::ownership
