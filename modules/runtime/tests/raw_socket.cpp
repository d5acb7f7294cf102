#include "raw_socket.h"

#include <algorithm>
#include <cstdlib>
#include <runtime/socket_address.h>
#include <sys/socket.h>

namespace chivewharf::runtime::test {

raw_socket::raw_socket(std::uint16_t port)
{
    const auto address = parse_socket_address("127.0.0.1:" + std::to_string(port));
    socket_.reset(
        g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr));
    g_socket_connect(socket_.get(), address->get(), nullptr, nullptr);
    attach_source();
}

raw_socket::raw_socket(gobject_ptr<GSocket> socket) : socket_{std::move(socket)}
{
    attach_source();
}

raw_socket::~raw_socket()
{
    close();
}

void raw_socket::attach_source()
{
    g_socket_set_blocking(socket_.get(), FALSE);
    source_ = g_socket_create_source(socket_.get(), G_IO_IN, nullptr);
    g_source_set_callback(source_, G_SOURCE_FUNC(&raw_socket::ready), this, nullptr);
    g_source_attach(source_, nullptr);
}

void raw_socket::send(const std::string& text)
{
    output_ += text;
    flush();
}

void raw_socket::flush()
{
    while (socket_ && !output_.empty()) {
        const auto sent =
            g_socket_send(socket_.get(), output_.data(), output_.size(), nullptr, nullptr);
        if (sent <= 0)
            break;
        output_.erase(0, static_cast<std::size_t>(sent));
    }
    // Sends the rest of a large output from the loop. Polling with a timer is sufficient for a
    // test.
    if (socket_ && !output_.empty() && !ended)
        g_timeout_add(
            1,
            [](gpointer self) -> gboolean {
                static_cast<raw_socket*>(self)->flush();
                return G_SOURCE_REMOVE;
            },
            this);
}

void raw_socket::close(bool with_reset)
{
    if (source_ != nullptr) {
        g_source_destroy(source_);
        g_source_unref(source_);
        source_ = nullptr;
    }
    if (socket_ && with_reset) {
        const linger reset{1, 0};
        setsockopt(g_socket_get_fd(socket_.get()), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    }
    if (socket_)
        g_socket_close(socket_.get(), nullptr);
    socket_.reset();
    while (g_source_remove_by_user_data(this) != FALSE)
        ;
}

gboolean raw_socket::ready(GSocket* socket, GIOCondition /*condition*/, gpointer self)
{
    auto* connection = static_cast<raw_socket*>(self);
    char buffer[65536];
    const auto size = g_socket_receive(socket, buffer, sizeof buffer, nullptr, nullptr);
    if (size <= 0) {
        connection->ended = true;
        return G_SOURCE_REMOVE;
    }
    const auto before = connection->requests();
    connection->received.append(buffer, static_cast<std::size_t>(size));
    if (connection->on_request && connection->requests() > before)
        connection->on_request(*connection);
    return G_SOURCE_CONTINUE;
}

std::size_t raw_socket::requests() const
{
    std::size_t count = 0;
    std::size_t at = 0;
    for (auto end = received.find("\r\n\r\n"); end != std::string::npos;
         end = received.find("\r\n\r\n", at)) {
        const auto head = received.substr(at, end - at);
        const auto field = head.find("Content-Length: ");
        const auto length =
            field == std::string::npos ? 0UL : std::strtoul(head.c_str() + field + 16, nullptr, 10);
        at = end + 4 + length;
        if (at > received.size())
            break;
        ++count;
    }
    return count;
}

raw_server::raw_server(std::function<void(raw_socket&)> on_request)
    : on_request_{std::move(on_request)}
{
    listener_ = std::move(*open_listener("127.0.0.1:0", 16));
    port_ = local_port(listener_.get());
    source_ = g_socket_create_source(listener_.get(), G_IO_IN, nullptr);
    g_source_set_callback(source_, G_SOURCE_FUNC(&raw_server::ready), this, nullptr);
    g_source_attach(source_, nullptr);
}

raw_server::~raw_server()
{
    g_source_destroy(source_);
    g_source_unref(source_);
}

gboolean raw_server::ready(GSocket* socket, GIOCondition /*condition*/, gpointer self)
{
    auto* server = static_cast<raw_server*>(self);
    if (auto* accepted = g_socket_accept(socket, nullptr, nullptr)) {
        server->connections.push_back(std::make_unique<raw_socket>(gobject_ptr<GSocket>{accepted}));
        server->connections.back()->on_request = server->on_request_;
    }
    return G_SOURCE_CONTINUE;
}

std::size_t raw_server::requests() const
{
    std::size_t sum = 0;
    for (const auto& connection : connections)
        sum += connection->requests();
    return sum;
}

std::size_t raw_server::bytes() const
{
    std::size_t sum = 0;
    for (const auto& connection : connections)
        sum += connection->received.size();
    return sum;
}

} // namespace chivewharf::runtime::test
