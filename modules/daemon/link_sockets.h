#pragma once

#include <base/result.h>
#include <cstdint>
#include <functional>
#include <runtime/gobject_ptr.h>
#include <runtime/runtime_error.h>
#include <string>

namespace chivewharf::daemon {

/// Accepts and dials the TCP connections between hosts and sets their socket options; `peer_link`
/// then runs the protocol on them. The kernel closes a connection whose peer has not acknowledged
/// sent bytes for a second.
class link_sockets {
public:
    using connection_ptr = runtime::gobject_ptr<GSocketConnection>;
    using accepted_function = std::function<void(connection_ptr)>;
    /// Receives null if the host cannot be reached.
    using dialled_function = std::function<void(connection_ptr)>;

    link_sockets() = default;
    ~link_sockets() { stop(); }
    link_sockets(const link_sockets&) = delete;
    link_sockets& operator=(const link_sockets&) = delete;

    /// Listens on `IP:PORT`; port 0 lets the kernel choose.
    /// \return the port, or bind_failed or invalid_address
    result<std::uint16_t, runtime::runtime_error> start(const std::string& address,
                                                        accepted_function accepted);

    /// Closes the listener and cancels connection attempts in progress; their functions are not
    /// called.
    void stop();

    bool started() const noexcept { return accept_source_ != nullptr; }

    /// Connects to the address. The function is called from the main loop, never from within the
    /// call.
    void dial(GSocketAddress* address, dialled_function done);

private:
    struct dial_request;

    static gboolean accept_ready(GSocket* socket, GIOCondition condition, gpointer self);
    static void dialled(GObject* client, GAsyncResult* result, gpointer request);

    accepted_function accepted_;
    runtime::gobject_ptr<GSocket> listener_;
    runtime::gobject_ptr<GSocketClient> client_;
    runtime::gobject_ptr<GCancellable> cancellable_;
    GSource* accept_source_ = nullptr;
};

} // namespace chivewharf::daemon
