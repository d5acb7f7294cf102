#pragma once

#include <array>
#include <base/enum_names.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace chivewharf::membership {

// These types mirror frames of module wire. This module does not depend on wire; module dispatch
// converts between the two.

/// Identifies one run of a process: a random number drawn at each start.
using incarnation_id = std::uint64_t;

/// Periodic sign of life of the sender. `view` is a hash of its membership view: the members that
/// it has not removed, with their incarnations.
struct heartbeat {
    incarnation_id incarnation = 0;
    std::uint32_t sequence = 0;
    std::uint64_t view = 0;
};

/// State of a member.
enum class member_state : std::uint8_t { live, suspected, removed };

/// State of one host as known to the sender of the report.
struct report_entry {
    std::string domain;
    std::string host;
    std::string address;
    incarnation_id incarnation = 0;
    std::uint32_t sequence = 0;
    member_state state = member_state::live;
    std::uint32_t silence_ms = 0;        ///< time since the last sign of life known to the sender
    std::uint32_t age_ms = 0;            ///< time since the host joined
    std::vector<incarnation_id> retired; ///< earlier incarnations, which were replaced
};

/// A report with one entry announces a change or asks about a suspected host. One with several
/// entries is a full table, in which the receiver verifies removals before it applies them. `sync`
/// requests a full table in return.
struct member_report {
    std::vector<report_entry> entries;
    bool sync = false;
};

/// Message of the membership protocol within a domain.
using member_message = std::variant<heartbeat, member_report>;

} // namespace chivewharf::membership

namespace chivewharf {

template <>
struct enum_names<membership::member_state> {
    static constexpr std::array<std::string_view, 3> names{"live", "suspected", "removed"};
};

} // namespace chivewharf
