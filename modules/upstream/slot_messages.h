#pragma once

#include <base/time.h>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace chivewharf::upstream {

/// Slots of one worker under one grant. The lender numbers its grants.
struct granted_slots {
    std::uint64_t grant = 0;
    std::string worker;
    std::uint32_t slots = 0;
};

/// Asks for slots of a service and renews grants that are still used.
struct slot_request {
    std::uint64_t request = 0; ///< numbered by the sender
    std::string service;
    std::uint32_t slots = 0; ///< further slots wanted; 0 in a pure renewal
    std::vector<granted_slots> renew;
};

/// Answers a slot_request. No slots in it is a refusal.
struct slot_grant {
    std::uint64_t request = 0;
    std::string service;
    duration lease{}; ///< the borrower counts it from when it sent the request
    std::vector<granted_slots> granted;
    std::vector<granted_slots> renewed;
    std::uint32_t spare = 0; ///< slots that the lender could still lend
};

/// Gives slots back before the lease ends. Each entry states the slots that the borrower keeps, so
/// that a delayed or repeated message releases nothing twice.
struct slot_return {
    std::vector<granted_slots> slots;
    std::vector<std::string> leaving; ///< workers that announced to the sender that they leave
};

using slot_message = std::variant<slot_request, slot_grant, slot_return>;

/// A message to another entry host of the domain.
struct outgoing_slot_message {
    std::string to;
    slot_message message;
};

} // namespace chivewharf::upstream
