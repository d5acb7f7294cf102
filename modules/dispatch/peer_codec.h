#pragma once

#include <membership/messages.h>
#include <membership/usage_average.h>
#include <upstream/slot_messages.h>
#include <wire/messages.h>

namespace chivewharf::dispatch {

// Conversions between the messages of the decision modules and those of the peer protocol.

wire::message to_wire(const membership::member_message& message);
wire::usage_average to_wire(const membership::usage_message& message);
wire::slot_request to_wire(const upstream::slot_request& message);
wire::slot_grant to_wire(const upstream::slot_grant& message);
wire::slot_return to_wire(const upstream::slot_return& message);

membership::member_message from_wire(const wire::heartbeat& message);
membership::member_message from_wire(const wire::member_report& message);
membership::usage_message from_wire(const wire::usage_average& message);
upstream::slot_request from_wire(const wire::slot_request& message);
upstream::slot_grant from_wire(const wire::slot_grant& message);
upstream::slot_return from_wire(const wire::slot_return& message);

} // namespace chivewharf::dispatch
