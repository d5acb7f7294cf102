#include <runtime/http_client.h>

#include <runtime/http_client_call.h>

namespace chivewharf::runtime {

std::string_view call_result::header(const char* name) const
{
    if (!soup_message)
        return {};
    auto* headers = soup_message_get_response_headers(soup_message.get());
    const char* value = soup_message_headers_get_one(headers, name);
    return value == nullptr ? std::string_view{} : std::string_view{value};
}

http_client::http_client(const http_client_limits& limits)
    : session_{SOUP_SESSION(g_object_new(
          SOUP_TYPE_SESSION, "max-conns", limits.max_connections, "max-conns-per-host",
          limits.max_connections_per_host, "idle-timeout", limits.idle_timeout_seconds, "timeout",
          0U, "proxy-resolver", nullptr, "user-agent", "chivewharf", nullptr))}
{
    soup_session_remove_feature_by_type(session_.get(), SOUP_TYPE_CONTENT_DECODER);
    soup_session_remove_feature_by_type(session_.get(), SOUP_TYPE_AUTH_MANAGER);
}

std::shared_ptr<http_client_call> http_client::send(http_call call, done_function done,
                                                    before_send_function before_send)
{
    return http_client_call::start(session_.get(), std::move(call), std::move(done),
                                   std::move(before_send));
}

} // namespace chivewharf::runtime
