#pragma once

#include <array>
#include <base/enum_names.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace chivewharf::membership {

// These types mirror the frames of module wire, which this module does not depend on; `dispatch`
// copies the fields across.

/// Random number that a process draws at each start.
using incarnation_id = std::uint64_t;

/// Liveness of the sender. `view` is a hash of the members it holds as live.
struct heartbeat {
    incarnation_id incarnation = 0;
    std::uint32_t sequence = 0;
    std::uint64_t view = 0;
};

/// State of a member.
enum class member_state : std::uint8_t { live, suspected, removed };

/// What the sender of a report holds about one host.
struct report_entry {
    std::string domain;
    std::string host;
    std::string address;
    incarnation_id incarnation = 0;
    std::uint32_t sequence = 0;
    member_state state = member_state::live;
    std::uint32_t silence_ms = 0; ///< time since the sender knows the host to have spoken
    std::uint32_t age_ms = 0;     ///< time since the host joined
    std::vector<incarnation_id> retired;
};

/// One entry: a change, or a question about a suspected host. Several entries: a whole table, whose
/// removals the receiver checks before it believes them. `sync` asks for a table in return.
struct member_report {
    std::vector<report_entry> entries;
    bool sync = false;
};

/// Message of the domain's membership protocol.
using member_message = std::variant<heartbeat, member_report>;

} // namespace chivewharf::membership

namespace chivewharf {

template <>
struct enum_names<membership::member_state> {
    static constexpr std::array<std::string_view, 3> names{"live", "suspected", "removed"};
};

} // namespace chivewharf
