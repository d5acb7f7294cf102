#include <runtime/raw_response.h>

#include <libsoup/soup.h>
#include <string>

namespace chivewharf::runtime {

namespace {

std::string to_text(const http_response& response)
{
    std::string fields;
    for (const auto& field : response.headers)
        fields += field.name + ": " + field.value + "\r\n";
    return "HTTP/1.1 " + std::to_string(response.status) + ' ' +
           soup_status_get_phrase(response.status) + "\r\n" + fields +
           "Content-Type: " + response.content_type +
           "\r\nConnection: close\r\nContent-Length: " + std::to_string(response.body.size()) +
           "\r\n\r\n" + response.body;
}

} // namespace

void write_raw_response(GSocket* socket, const http_response& response)
{
    const auto text = to_text(response);
    g_socket_send(socket, text.data(), text.size(), nullptr, nullptr);
}

} // namespace chivewharf::runtime
