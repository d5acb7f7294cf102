#include <ownership/ownership_log_state.h>

#include <utility>

namespace chivewharf::ownership {

bool ownership_log_state::note_first_offset(std::uint64_t first)
{
    if (first <= next_)
        return false;
    next_ = first;
    complete_ = false;
    for (slot_state& slot : slots_)
        slot.certain = false;
    return true;
}

std::uint64_t ownership_log_state::claim_epoch(unsigned number) const
{
    const slot_state& state = slots_.at(number);
    return state.certain ? state.epoch + 1 : next_ + 1;
}

applied_record ownership_log_state::apply(std::uint64_t offset, std::string_view data)
{
    applied_record out;
    if (offset < next_)
        return out;
    note_first_offset(offset);
    next_ = offset + 1;
    auto decoded = decode(data);
    if (!decoded)
        return out;
    std::visit([&](const auto& body) { apply(body, out); }, decoded->body);
    out.record = std::move(*decoded);
    return out;
}

void ownership_log_state::apply(const claim_record& claim, applied_record& out)
{
    slot_state& state = slots_[claim.at.slot];
    if (claim.at.epoch <= state.epoch)
        return;
    if (state.epoch == 0 && state.certain)
        out.first_owned.push_back(claim.at.slot);
    state.epoch = claim.at.epoch;
    state.owner = claim.owner;
    out.slots.push_back(claim.at.slot);
}

void ownership_log_state::apply(const renew_record& renew, applied_record& out)
{
    for (const slot_epoch& at : renew.slots) {
        slot_state& state = slots_[at.slot];
        const bool current = state.epoch == at.epoch && state.owner == renew.owner;
        // The claim of this owner was missed. Only the owner of a slot writes renewals, so the
        // renewal identifies it.
        const bool adopted = !state.certain && at.epoch >= state.epoch;
        if (!current && !adopted)
            continue;
        state = {at.epoch, renew.owner, true};
        out.slots.push_back(at.slot);
    }
}

void ownership_log_state::apply(const handover_record& handover, applied_record& out)
{
    for (const slot_epoch& at : handover.slots) {
        slot_state& state = slots_[at.slot];
        const bool current = state.epoch == at.epoch && state.owner == handover.from;
        const bool adopted = !state.certain && at.epoch >= state.epoch;
        if (!current && !adopted)
            continue;
        state.epoch = at.epoch + 1;
        state.owner = handover.to;
        out.slots.push_back(at.slot);
    }
}

} // namespace chivewharf::ownership
