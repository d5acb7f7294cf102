#include "crowd.h"

#include <algorithm>
#include <base/digest.h>
#include <iostream>
#include <runtime/socket_address.h>

namespace chivewharf::request_limits {

namespace {

constexpr std::size_t header_line_bytes = 15'000;
constexpr std::size_t one_byte_chunks = 5'000;
constexpr std::size_t pipelined_requests = 2'000;
constexpr std::size_t nested_arrays = 200'000;
constexpr std::size_t steps = 15'000;

char random_letter(rng& random)
{
    return static_cast<char>('a' + random() % 26);
}

std::string post_line(const std::string& host, rng& random)
{
    return "POST /checks/" + to_hex(random()) + " HTTP/1.1\r\nHost: " + host + "\r\n";
}

std::string with_length(const std::string& head, const std::string& body)
{
    return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string header_lines(rng& random, const std::string& host)
{
    auto text = post_line(host, random) + "Content-Length: 1000\r\n";
    for (std::size_t bytes = 0; bytes < header_line_bytes; bytes += 4)
        text += std::string{random_letter(random)} + ":\r\n";
    return text + "\r\nincomplete";
}

std::string chunks(rng& random, const std::string& host)
{
    auto text = post_line(host, random) + "Transfer-Encoding: chunked\r\n\r\n";
    for (std::size_t i = 0; i < one_byte_chunks; ++i)
        text += std::string{"1\r\n"} + random_letter(random) + "\r\n";
    return text;
}

std::string pipelined(rng& /*random*/, const std::string& host)
{
    std::string text;
    for (std::size_t i = 0; i < pipelined_requests; ++i)
        text += "GET /checks/ HTTP/1.1\r\nHost: " + host + "\r\n\r\n";
    return text;
}

std::string nothing(rng& /*random*/, const std::string& /*host*/)
{
    return {};
}

std::string deep_json(rng& random, const std::string& host)
{
    return with_length(post_line(host, random), R"({"spec":"1 1","steps":)" +
                                                    std::string(nested_arrays, '[') +
                                                    std::string(nested_arrays / 4, ']'));
}

std::string many_steps(rng& random, const std::string& host)
{
    std::string body = R"({"spec":"1 1","best_effort":true,"steps":[{"count":1})";
    for (std::size_t i = 1; i < steps; ++i)
        body += R"(,{"count":1})";
    return with_length(post_line(host, random), body + "]}");
}

constexpr crowd_kind kinds[] = {
    {"header_lines", 300, &header_lines}, {"one_byte_chunks", 100, &chunks},
    {"pipelined", 100, &pipelined},       {"silent", 300, &nothing},
    {"deep_json", 50, &deep_json},        {"many_steps", 50, &many_steps},
};

runtime::gobject_ptr<GSocket> connect(const std::string& address)
{
    const auto target = runtime::parse_socket_address(address);
    runtime::gobject_ptr<GSocket> socket{
        g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr)};
    if (!target || !socket ||
        g_socket_connect(socket.get(), target->get(), nullptr, nullptr) == FALSE) {
        std::cerr << "cannot connect to " << address << '\n';
        std::exit(1);
    }
    g_socket_set_blocking(socket.get(), FALSE);
    return socket;
}

} // namespace

const crowd_kind* find_crowd(std::string_view name)
{
    const auto* found = std::find_if(std::begin(kinds), std::end(kinds),
                                     [name](const auto& kind) { return kind.name == name; });
    return found == std::end(kinds) ? nullptr : found;
}

crowd::crowd(const crowd_kind& kind, const std::string& address, std::uint64_t seed)
{
    rng random{seed};
    const auto host = address.substr(0, address.rfind(':'));
    for (std::size_t i = 0; i < kind.clients; ++i)
        clients_.push_back({connect(address), kind.request(random, host)});
}

void crowd::send()
{
    for (auto& one : clients_) {
        while (!one.unsent.empty()) {
            GError* failure = nullptr;
            const auto size = g_socket_send(one.socket.get(), one.unsent.data(), one.unsent.size(),
                                            nullptr, &failure);
            const runtime::gerror_ptr owner{failure};
            if (size > 0) {
                one.unsent.erase(0, static_cast<std::size_t>(size));
                continue;
            }
            if (g_error_matches(failure, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) == FALSE)
                one.unsent.clear();
            break;
        }
    }
}

bool crowd::sent() const
{
    return std::all_of(clients_.begin(), clients_.end(),
                       [](const auto& one) { return one.unsent.empty(); });
}

} // namespace chivewharf::request_limits
