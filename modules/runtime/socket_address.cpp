#include <runtime/socket_address.h>

#include <charconv>

namespace chivewharf::runtime {

namespace {

runtime_error invalid_address(std::string_view text)
{
    return {runtime_errc::invalid_address,
            "address \"" + std::string{text} + "\" is not IP:PORT or [IPV6]:PORT"};
}

runtime_error bind_failed(std::string_view address, GError* error)
{
    const gerror_ptr owner{error};
    return {runtime_errc::bind_failed,
            "cannot listen on " + std::string{address} + ": " + error->message};
}

} // namespace

result<gobject_ptr<GSocketAddress>, runtime_error> parse_socket_address(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return unexpected{invalid_address(text)};
    auto host = text.substr(0, colon);
    const auto port_text = text.substr(colon + 1);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    std::uint16_t port = 0;
    const auto* end = port_text.data() + port_text.size();
    const auto parsed = std::from_chars(port_text.data(), end, port);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
        return unexpected{invalid_address(text)};
    auto* address = g_inet_socket_address_new_from_string(std::string{host}.c_str(), port);
    if (address == nullptr)
        return unexpected{invalid_address(text)};
    return gobject_ptr<GSocketAddress>{address};
}

result<gobject_ptr<GSocket>, runtime_error> open_listener(std::string_view address, int backlog)
{
    auto parsed = parse_socket_address(address);
    if (!parsed)
        return unexpected{parsed.error()};
    GError* error = nullptr;
    const auto family = g_socket_address_get_family(parsed->get());
    gobject_ptr<GSocket> socket{
        g_socket_new(family, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &error)};
    if (!socket)
        return unexpected{bind_failed(address, error)};
    g_socket_set_blocking(socket.get(), FALSE);
    g_socket_set_listen_backlog(socket.get(), backlog);
    if (!g_socket_bind(socket.get(), parsed->get(), TRUE, &error))
        return unexpected{bind_failed(address, error)};
    if (!g_socket_listen(socket.get(), &error))
        return unexpected{bind_failed(address, error)};
    return socket;
}

std::uint16_t local_port(GSocket* socket)
{
    const gobject_ptr<GSocketAddress> address{g_socket_get_local_address(socket, nullptr)};
    if (!address || !G_IS_INET_SOCKET_ADDRESS(address.get()))
        return 0;
    return g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(address.get()));
}

} // namespace chivewharf::runtime
