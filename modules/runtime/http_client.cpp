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

namespace {

/// `HOST:PORT` of `http://HOST:PORT/PATH`.
std::string_view authority(std::string_view url)
{
    const auto scheme = url.find("://");
    if (scheme == std::string_view::npos)
        return url;
    const auto rest = url.substr(scheme + 3);
    return rest.substr(0, rest.find('/'));
}

gobject_ptr<SoupSession> make_session(const http_client_limits& limits)
{
    gobject_ptr<SoupSession> session{SOUP_SESSION(g_object_new(
        SOUP_TYPE_SESSION, "max-conns", limits.max_connections, "max-conns-per-host",
        limits.max_connections_per_host, "idle-timeout", limits.idle_timeout_seconds, "timeout", 0U,
        "proxy-resolver", nullptr, "user-agent", "chivewharf", nullptr))};
    soup_session_remove_feature_by_type(session.get(), SOUP_TYPE_CONTENT_DECODER);
    soup_session_remove_feature_by_type(session.get(), SOUP_TYPE_AUTH_MANAGER);
    return session;
}

} // namespace

http_client::http_client(const http_client_limits& limits) : limits_{limits} {}

SoupSession* http_client::session_for(std::string_view url, time_point now)
{
    // Workers are replaced continually, so sessions of removed workers would accumulate.
    const duration idle_timeout = seconds{limits_.idle_timeout_seconds};
    if (now >= next_cleanup_) {
        next_cleanup_ = now + idle_timeout;
        std::erase_if(sessions_, [&](const auto& entry) {
            return entry.second.last_used + idle_timeout < now;
        });
    }
    auto& entry = sessions_[std::string{authority(url)}];
    if (!entry.session)
        entry.session = make_session(limits_);
    entry.last_used = now;
    return entry.session.get();
}

std::shared_ptr<http_client_call> http_client::send(http_call call, done_function done,
                                                    before_send_function before_send)
{
    auto* session = *calls_in_progress_ < limits_.max_connections
                        ? session_for(call.url, boot_clock::now())
                        : nullptr;
    return http_client_call::start(session, calls_in_progress_, std::move(call), std::move(done),
                                   std::move(before_send));
}

} // namespace chivewharf::runtime
