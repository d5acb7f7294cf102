#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chivewharf::settings {

/// IP address and port. Host names are not accepted, because a process resolves no names.
struct endpoint {
    std::string ip; ///< `10.0.0.1` or, without brackets, `2001:db8::1`
    std::uint16_t port = 0;

    bool operator==(const endpoint&) const = default;
};

/// Parses `10.0.0.1:80` or `[2001:db8::1]:80`; none if the text has another form. Port 0 is
/// accepted here; the fields of the settings restrict it where a peer must be able to connect.
std::optional<endpoint> parse_endpoint(std::string_view text);

/// Text that `parse_endpoint` accepts.
std::string to_text(const endpoint& address);

} // namespace chivewharf::settings
