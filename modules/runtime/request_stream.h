#pragma once

#include <gio/gio.h>
#include <memory>
#include <runtime/gobject_ptr.h>

namespace chivewharf::runtime {

/// What is known of the bytes that a connection has received.
struct receive_state {
    /// True from the first byte of a request until the server clears it at the request's end.
    bool receiving = false;
};

/// Wraps the input of a server connection for libsoup. libsoup 3.2 never closes a connection that
/// ends between two requests; it does close one that ends within a request. The stream therefore
/// puts one byte before an end that comes between requests. It also notes when a request begins.
/// Closing it closes the whole connection.
gobject_ptr<GInputStream> make_request_stream(GIOStream* connection,
                                              std::shared_ptr<receive_state> state);

} // namespace chivewharf::runtime
