#include <daemon/link_sockets.h>

#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <runtime/socket_address.h>
#include <utility>

namespace chivewharf::daemon {

namespace {

constexpr int listen_backlog = 256;
constexpr guint dial_timeout_s = 1;
/// The kernel closes a connection when sent bytes remain unacknowledged for this long.
constexpr int unacknowledged_timeout_ms = 1000;

void set_options(GSocketConnection* connection)
{
    auto* socket = g_socket_connection_get_socket(connection);
    g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
    g_socket_set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_timeout_ms, nullptr);
}

} // namespace

struct link_sockets::dial_request {
    dialled_function done;
    runtime::gobject_ptr<GCancellable> cancellable;
};

result<std::uint16_t, runtime::runtime_error> link_sockets::start(const std::string& address,
                                                                  accepted_function accepted)
{
    auto socket = runtime::open_listener(address, listen_backlog);
    if (!socket)
        return unexpected{socket.error()};
    accepted_ = std::move(accepted);
    listener_ = std::move(*socket);
    cancellable_.reset(g_cancellable_new());
    client_.reset(g_socket_client_new());
    g_socket_client_set_enable_proxy(client_.get(), FALSE);
    g_socket_client_set_timeout(client_.get(), dial_timeout_s);
    accept_source_ = g_socket_create_source(listener_.get(), G_IO_IN, nullptr);
    g_source_set_callback(accept_source_, G_SOURCE_FUNC(&link_sockets::accept_ready), this,
                          nullptr);
    g_source_attach(accept_source_, nullptr);
    return runtime::local_port(listener_.get());
}

void link_sockets::stop()
{
    if (accept_source_ == nullptr)
        return;
    g_source_destroy(accept_source_);
    g_source_unref(accept_source_);
    accept_source_ = nullptr;
    g_cancellable_cancel(cancellable_.get());
    listener_.reset();
}

gboolean link_sockets::accept_ready(GSocket* socket, GIOCondition /*condition*/, gpointer self)
{
    auto* sockets = static_cast<link_sockets*>(self);
    while (auto* accepted = g_socket_accept(socket, nullptr, nullptr)) {
        const runtime::gobject_ptr<GSocket> owner{accepted};
        connection_ptr connection{g_socket_connection_factory_create_connection(accepted)};
        set_options(connection.get());
        sockets->accepted_(std::move(connection));
    }
    return G_SOURCE_CONTINUE;
}

void link_sockets::dial(GSocketAddress* address, dialled_function done)
{
    auto* request = new dial_request{std::move(done), runtime::retain(cancellable_.get())};
    g_socket_client_connect_async(client_.get(), G_SOCKET_CONNECTABLE(address), cancellable_.get(),
                                  &link_sockets::dialled, request);
}

void link_sockets::dialled(GObject* client, GAsyncResult* result, gpointer data)
{
    const std::unique_ptr<dial_request> request{static_cast<dial_request*>(data)};
    GError* error = nullptr;
    connection_ptr connection{
        g_socket_client_connect_finish(G_SOCKET_CLIENT(client), result, &error)};
    const runtime::gerror_ptr owner{error};
    // If the request was cancelled, its owner has stopped and may have been destroyed.
    if (g_cancellable_is_cancelled(request->cancellable.get()) != FALSE)
        return;
    if (connection) {
        // The socket inherits the client's timeout, which would close a link after 1 s of silence.
        g_socket_set_timeout(g_socket_connection_get_socket(connection.get()), 0);
        set_options(connection.get());
    }
    request->done(std::move(connection));
}

} // namespace chivewharf::daemon
