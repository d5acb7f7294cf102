#include <dispatch/peer_codec.h>

namespace chivewharf::dispatch {

namespace {

template <class To, class From>
std::vector<To> convert_slots(const std::vector<From>& slots)
{
    std::vector<To> out;
    out.reserve(slots.size());
    for (const auto& slot : slots)
        out.push_back({slot.grant, slot.worker, slot.slots});
    return out;
}

std::vector<wire::lent_slots> to_wire(const std::vector<upstream::granted_slots>& slots)
{
    return convert_slots<wire::lent_slots>(slots);
}

std::vector<upstream::granted_slots> from_wire(const std::vector<wire::lent_slots>& slots)
{
    return convert_slots<upstream::granted_slots>(slots);
}

wire::member_entry to_wire(const membership::report_entry& entry)
{
    return {entry.domain,      entry.host,     entry.address,
            entry.incarnation, entry.sequence, static_cast<wire::member_state>(entry.state),
            entry.silence_ms,  entry.age_ms,   entry.retired};
}

membership::report_entry from_wire(const wire::member_entry& entry)
{
    return {entry.domain,      entry.host,     entry.address,
            entry.incarnation, entry.sequence, static_cast<membership::member_state>(entry.state),
            entry.silence_ms,  entry.age_ms,   entry.retired};
}

} // namespace

wire::message to_wire(const membership::member_message& message)
{
    if (const auto* heartbeat = std::get_if<membership::heartbeat>(&message))
        return wire::heartbeat{heartbeat->incarnation, heartbeat->sequence, heartbeat->view};
    const auto& report = std::get<membership::member_report>(message);
    wire::member_report out;
    out.sync = report.sync;
    for (const auto& entry : report.entries)
        out.entries.push_back(to_wire(entry));
    return out;
}

wire::usage_average to_wire(const membership::usage_message& message)
{
    return {message.exchange, message.epoch, message.reply, message.keys, message.values};
}

wire::slot_request to_wire(const upstream::slot_request& message)
{
    return {message.request, message.service, message.slots, to_wire(message.renew)};
}

wire::slot_grant to_wire(const upstream::slot_grant& message)
{
    return {message.request,
            message.service,
            static_cast<std::uint32_t>(to_ms(message.lease)),
            to_wire(message.granted),
            to_wire(message.renewed),
            message.spare};
}

wire::slot_return to_wire(const upstream::slot_return& message)
{
    return {to_wire(message.slots), message.leaving};
}

membership::member_message from_wire(const wire::heartbeat& message)
{
    return membership::heartbeat{message.incarnation, message.sequence, message.view};
}

membership::member_message from_wire(const wire::member_report& message)
{
    membership::member_report out;
    out.sync = message.sync;
    for (const auto& entry : message.entries)
        out.entries.push_back(from_wire(entry));
    return out;
}

membership::usage_message from_wire(const wire::usage_average& message)
{
    return {message.exchange, message.epoch, message.reply, message.keys, message.values};
}

upstream::slot_request from_wire(const wire::slot_request& message)
{
    return {message.request, message.service, message.slots, from_wire(message.renew)};
}

upstream::slot_grant from_wire(const wire::slot_grant& message)
{
    return {message.request,
            message.service,
            milliseconds{message.lease_ms},
            from_wire(message.granted),
            from_wire(message.renewed),
            message.spare};
}

upstream::slot_return from_wire(const wire::slot_return& message)
{
    return {from_wire(message.slots), message.leaving};
}

} // namespace chivewharf::dispatch
