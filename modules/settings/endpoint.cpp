#include <settings/endpoint.h>

#include <arpa/inet.h>
#include <array>
#include <charconv>

namespace chivewharf::settings {

std::optional<endpoint> parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    auto ip = text.substr(0, colon);
    const auto port_text = text.substr(colon + 1);
    const bool bracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
    if (bracketed)
        ip = ip.substr(1, ip.size() - 2);

    endpoint address{.ip = std::string{ip}};
    const char* end = port_text.data() + port_text.size();
    const auto parsed = std::from_chars(port_text.data(), end, address.port);
    if (port_text.empty() || parsed.ec != std::errc{} || parsed.ptr != end)
        return std::nullopt;

    std::array<unsigned char, sizeof(in6_addr)> binary{};
    // inet_pton would ignore everything after a NUL character.
    if (address.ip.find('\0') != std::string::npos ||
        inet_pton(bracketed ? AF_INET6 : AF_INET, address.ip.c_str(), binary.data()) != 1)
        return std::nullopt;
    return address;
}

std::string to_text(const endpoint& address)
{
    const bool is_ipv6 = address.ip.find(':') != std::string::npos;
    return (is_ipv6 ? '[' + address.ip + ']' : address.ip) + ':' + std::to_string(address.port);
}

} // namespace chivewharf::settings
