#pragma once

#include <base/time.h>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace chivewharf::upstream {

/// Slots of one worker under one grant, whose number is assigned by the lender.
struct granted_slots {
    std::uint64_t grant = 0;
    std::string worker;
    std::uint32_t slots = 0;
};

/// Requests slots for a service and renews grants that are still in use.
struct slot_request {
    std::uint64_t request = 0; ///< request number, assigned by the sender
    std::string service;
    std::uint32_t slots = 0; ///< additional slots wanted; 0 if the message only renews
    std::vector<granted_slots> renew;
};

/// Answers a slot_request. If it grants no slots, the request for slots was refused.
struct slot_grant {
    std::uint64_t request = 0;
    std::string service;
    duration lease{}; ///< the borrower counts it from the time it sent the request
    std::vector<granted_slots> granted;
    std::vector<granted_slots> renewed;
    std::uint32_t spare = 0; ///< slots that the lender could still lend
};

/// Returns slots before the lease ends. Each entry states the number of slots that the borrower
/// keeps, so that a delayed or duplicated message does not release slots twice.
struct slot_return {
    std::vector<granted_slots> slots;
    std::vector<std::string> leaving; ///< workers whose shutdown was announced to the sender
};

using slot_message = std::variant<slot_request, slot_grant, slot_return>;

/// A message to another entry host of the failure domain.
struct outgoing_slot_message {
    std::string to;
    slot_message message;
};

} // namespace chivewharf::upstream
