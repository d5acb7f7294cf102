#pragma once

#include <array>
#include <base/enum_names.h>
#include <base/result.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace chivewharf::membership {

/// Reason why a message was ignored. The link stays open, except for `superseded_sender`.
enum class membership_errc : std::uint8_t {
    superseded_sender, ///< the sender's incarnation was replaced; close its link
    own_name,          ///< the sender uses this host's name
    other_domain,      ///< a message of the protocol within a domain came from another domain
    table_full,        ///< the maximum number of hosts or customers is reached
    malformed,         ///< values are inconsistent or not finite
};

/// Error for a message that was ignored; `message` is a text for the log.
struct membership_error {
    membership_errc code;
    std::string message;
};

} // namespace chivewharf::membership

namespace chivewharf {

template <>
struct enum_names<membership::membership_errc> {
    static constexpr std::array<std::string_view, 5> names{
        "superseded_sender", "own_name", "other_domain", "table_full", "malformed"};
};

} // namespace chivewharf
