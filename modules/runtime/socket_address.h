#pragma once

#include <base/result.h>
#include <cstdint>
#include <runtime/gobject_ptr.h>
#include <runtime/runtime_error.h>
#include <string>
#include <string_view>

namespace chivewharf::runtime {

/// Parses `IP:PORT` or `[IPV6]:PORT`. Host names are not resolved.
/// \return the address, or invalid_address
result<gobject_ptr<GSocketAddress>, runtime_error> parse_socket_address(std::string_view text);

/// Opens a non-blocking listening TCP socket with address reuse and the given backlog.
/// \return the socket, or invalid_address or bind_failed
result<gobject_ptr<GSocket>, runtime_error> open_listener(std::string_view address, int backlog);

/// Port to which the socket is bound; 0 if it is not bound.
std::uint16_t local_port(GSocket* socket);

} // namespace chivewharf::runtime
