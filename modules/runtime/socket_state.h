#pragma once

#include <cstddef>
#include <gio/gio.h>

namespace chivewharf::runtime {

/// True if the peer has closed its side of the connection.
bool closed_by_peer(GSocket* socket);

/// Number of bytes that the kernel has received and the process has not read; 0 if unknown.
std::size_t unread_bytes(GSocket* socket);

/// Number of written bytes that the peer has not acknowledged; 0 if unknown.
std::size_t unacknowledged_bytes(GSocket* socket);

} // namespace chivewharf::runtime
