#include "connection.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <glib-unix.h>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <runtime/socket_address.h>
#include <utility>

namespace chivewharf::testing_support {

namespace {

constexpr std::size_t read_bytes = 65536;
constexpr std::string_view head_end = "\r\n\r\n";

GIOCondition operator|(GIOCondition a, GIOCondition b)
{
    return static_cast<GIOCondition>(static_cast<unsigned>(a) | static_cast<unsigned>(b));
}

} // namespace

std::string_view raw_response::header(std::string_view name) const
{
    const std::string_view text{head};
    for (auto at = text.find("\r\n"); at != std::string_view::npos; at = text.find("\r\n", at)) {
        at += 2;
        const auto field = text.substr(at, text.find("\r\n", at) - at);
        if (field.size() <= name.size() || field[name.size()] != ':' ||
            g_ascii_strncasecmp(field.data(), name.data(), name.size()) != 0)
            continue;
        const auto value = field.find_first_not_of(' ', name.size() + 1);
        return value == std::string_view::npos ? std::string_view{} : field.substr(value);
    }
    return {};
}

void connection::open()
{
    if (socket_)
        return;
    const auto address = runtime::parse_socket_address(target_);
    if (!address) {
        std::cerr << address.error().message << '\n';
        std::exit(2);
    }
    opened_at_ = boot_clock::now();
    socket_.reset(g_socket_new(g_socket_address_get_family(address->get()), G_SOCKET_TYPE_STREAM,
                               G_SOCKET_PROTOCOL_TCP, nullptr));
    g_socket_set_blocking(socket_.get(), FALSE);
    g_socket_set_option(socket_.get(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
    // The result of the non-blocking connect is seen when the socket becomes writable or fails.
    g_socket_connect(socket_.get(), address->get(), nullptr, nullptr);
}

void connection::send(std::string request, done_function done)
{
    open();
    output_ = std::move(request);
    written_ = 0;
    done_ = std::move(done);
    if (source_ == 0 || !write())
        watch(G_IO_IN | G_IO_OUT);
}

void connection::watch(GIOCondition condition)
{
    if (source_ != 0 && watched_ == condition)
        return;
    if (source_ != 0)
        g_source_remove(source_);
    watched_ = condition;
    source_ = g_unix_fd_add(g_socket_get_fd(socket_.get()), condition, &connection::ready, this);
}

void connection::close()
{
    if (source_ != 0)
        g_source_remove(source_);
    source_ = 0;
    socket_.reset();
    input_.clear();
}

void connection::fail()
{
    close();
    if (done_)
        std::exchange(done_, nullptr)(std::nullopt);
}

gboolean connection::ready(gint /*fd*/, GIOCondition condition, gpointer self)
{
    auto* that = static_cast<connection*>(self);
    const auto source = that->source_;
    if ((condition & G_IO_OUT) != 0 && that->write())
        that->watch(G_IO_IN);
    if ((condition & (G_IO_IN | G_IO_HUP | G_IO_ERR)) != 0 && that->socket_ && !that->read())
        that->fail();
    return that->source_ == source ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

bool connection::write()
{
    while (written_ < output_.size()) {
        const auto sent = g_socket_send(socket_.get(), output_.data() + written_,
                                        output_.size() - written_, nullptr, nullptr);
        if (sent <= 0)
            return false;
        written_ += static_cast<std::size_t>(sent);
    }
    return true;
}

bool connection::read()
{
    const auto before = input_.size();
    input_.resize(before + read_bytes);
    GError* error = nullptr;
    const auto size =
        g_socket_receive(socket_.get(), input_.data() + before, read_bytes, nullptr, &error);
    const runtime::gerror_ptr owner{error};
    input_.resize(before + static_cast<std::size_t>(std::max<gssize>(size, 0)));
    if (size <= 0)
        return size < 0 && g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE;
    parse();
    return true;
}

void connection::parse()
{
    const auto end = input_.find(head_end);
    if (end == std::string::npos || !done_)
        return;
    raw_response response;
    response.head = input_.substr(0, end);
    const auto length_text = response.header("Content-Length");
    std::size_t length = 0;
    std::from_chars(length_text.data(), length_text.data() + length_text.size(), length);
    const auto body_at = end + head_end.size();
    if (input_.size() < body_at + length)
        return;
    if (const auto space = response.head.find(' '); space != std::string::npos)
        response.status = static_cast<unsigned>(std::atoi(response.head.c_str() + space));
    response.body = input_.substr(body_at, length);
    input_.erase(0, body_at + length);
    if (response.header("Connection") == "close")
        close();
    std::exchange(done_, nullptr)(std::move(response));
}

} // namespace chivewharf::testing_support
