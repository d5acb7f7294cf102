#include "caller_connection.h"

#include <cerrno>
#include <charconv>
#include <optional>
#include <runtime/socket_address.h>
#include <sys/socket.h>
#include <utility>

namespace chivewharf::fleet_soak {

namespace {

constexpr std::string_view head_end = "\r\n\r\n";

/// Value of a header field in the head of a response; empty if it is absent.
std::string_view header_value(std::string_view head, std::string_view name)
{
    const auto found = head.find("\r\n" + std::string{name} + ": ");
    if (found == std::string_view::npos)
        return {};
    head.remove_prefix(found + name.size() + 4);
    return head.substr(0, head.find("\r\n"));
}

std::size_t parse_number(std::string_view text)
{
    std::size_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

} // namespace

std::shared_ptr<caller_connection> caller_connection::open(const std::string& address,
                                                           handlers on_event)
{
    runtime::gobject_ptr<GSocket> socket{
        g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr)};
    g_socket_set_blocking(socket.get(), FALSE);
    const auto target = runtime::parse_socket_address(address);
    g_socket_connect(socket.get(), target->get(), nullptr, nullptr);
    std::shared_ptr<caller_connection> opened{
        new caller_connection{std::move(socket), std::move(on_event)}};
    opened->watch(G_IO_OUT);
    return opened;
}

caller_connection::caller_connection(runtime::gobject_ptr<GSocket> socket, handlers on_event)
    : socket_{std::move(socket)}, on_event_{std::move(on_event)}
{
}

caller_connection::~caller_connection()
{
    g_source_destroy(source_);
    g_source_unref(source_);
    g_socket_close(socket_.get(), nullptr);
}

void caller_connection::watch(GIOCondition condition)
{
    if (source_ != nullptr) {
        g_source_destroy(source_);
        g_source_unref(source_);
    }
    source_ = g_socket_create_source(socket_.get(), condition, nullptr);
    g_source_set_callback(source_, G_SOURCE_FUNC(&caller_connection::ready), this, nullptr);
    g_source_attach(source_, nullptr);
}

gboolean caller_connection::ready(GSocket* /*socket*/, GIOCondition /*condition*/, gpointer self)
{
    // A handler may drop the connection.
    const auto connection = static_cast<caller_connection*>(self)->shared_from_this();
    const bool open =
        connection->connected_ ? connection->receive() : connection->complete_connect();
    if (!open)
        connection->on_event_.ended();
    return open ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

bool caller_connection::complete_connect()
{
    if (g_socket_check_connect_result(socket_.get(), nullptr) == FALSE)
        return false;
    connected_ = true;
    watch(G_IO_IN);
    on_event_.connected();
    return true;
}

bool caller_connection::receive()
{
    char buffer[16384];
    GError* error = nullptr;
    const auto size = g_socket_receive(socket_.get(), buffer, sizeof buffer, nullptr, &error);
    const runtime::gerror_ptr owner{error};
    if (size < 0 && g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE)
        return true;
    if (size <= 0)
        return false;
    received_.append(buffer, static_cast<std::size_t>(size));
    take_responses();
    return true;
}

void caller_connection::take_responses()
{
    while (!unanswered_.empty()) {
        const auto head_size = received_.find(head_end);
        if (head_size == std::string::npos)
            return;
        const auto head = std::string_view{received_}.substr(0, head_size);
        const auto size =
            head_size + head_end.size() + parse_number(header_value(head, "Content-Length"));
        if (received_.size() < size)
            return;
        const std::string_view version = "HTTP/1.1 ";
        const caller_response response{
            static_cast<unsigned>(parse_number(head.substr(version.size()))),
            header_value(head, "Connection") == "close"};
        received_.erase(0, size);
        const auto request = std::move(unanswered_.front());
        unanswered_.pop_front();
        ++responses_;
        on_event_.responded(request, response);
    }
}

void caller_connection::write_part(std::string_view bytes)
{
    // Requests are much smaller than the socket's buffer. A failed write is followed by the end of
    // the connection.
    g_socket_send(socket_.get(), bytes.data(), bytes.size(), nullptr, nullptr);
}

void caller_connection::write_end(std::string_view bytes, written_request request)
{
    const auto sent = g_socket_send(socket_.get(), bytes.data(), bytes.size(), nullptr, nullptr);
    request.written = boot_clock::now();
    request.end_visible_when_written = end_visible();
    if (sent == static_cast<gssize>(bytes.size()))
        unanswered_.push_back(std::move(request));
}

bool caller_connection::end_visible() const
{
    char next = 0;
    const auto received = recv(g_socket_get_fd(socket_.get()), &next, 1, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EINTR);
}

} // namespace chivewharf::fleet_soak
