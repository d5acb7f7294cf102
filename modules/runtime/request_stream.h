#pragma once

#include <functional>
#include <gio/gio.h>
#include <memory>
#include <runtime/gobject_ptr.h>
#include <string_view>

namespace chivewharf::runtime {

/// Receive state of a server connection, shared by the stream and the server.
struct receive_state {
    /// Set by the stream at the first byte of a request; cleared by the server at its end.
    bool receiving = false;
    /// Set by the server when it ends the connection: the stream reports its end from then on, and
    /// reads nothing that would not be answered.
    bool ended = false;
    /// Called with the bytes of each read before libsoup gets them. The bytes are dropped if it
    /// sets `ended`.
    std::function<void(std::string_view)> on_bytes;
};

/// Wraps the input stream of a server connection for libsoup. If the input ends between two
/// requests, libsoup 3.2 never closes the connection; if it ends within a request, libsoup does.
/// The stream therefore inserts one byte, which libsoup takes for the start of a request, before an
/// end of stream or an error between requests. It also records in `state` when a request begins,
/// and shows each read to the server, which may refuse the request.
/// Closing the stream closes the connection.
gobject_ptr<GInputStream> make_request_stream(GIOStream* connection,
                                              std::shared_ptr<receive_state> state);

} // namespace chivewharf::runtime
