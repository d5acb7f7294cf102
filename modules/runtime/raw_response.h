#pragma once

#include <gio/gio.h>
#include <runtime/http_message.h>

namespace chivewharf::runtime {

/// Writes a response that ends its connection directly to the socket, past libsoup. Never blocks:
/// if the socket takes only a part, the rest is lost.
void write_raw_response(GSocket* socket, const http_response& response);

} // namespace chivewharf::runtime
