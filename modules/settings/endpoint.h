#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chivewharf::settings {

/// IP address and port. Host names are not accepted, because processes do not resolve names.
struct endpoint {
    std::string ip; ///< `10.0.0.1` or, without brackets, `2001:db8::1`
    std::uint16_t port = 0;

    bool operator==(const endpoint&) const = default;
};

/// Parses `10.0.0.1:80` or `[2001:db8::1]:80`. Port 0 is accepted here; the rules of the settings
/// fields reject it where a peer must be able to connect.
/// \return the endpoint, or nullopt if the text has another form
std::optional<endpoint> parse_endpoint(std::string_view text);

/// Formats the endpoint as `parse_endpoint` accepts it.
std::string to_text(const endpoint& address);

} // namespace chivewharf::settings
