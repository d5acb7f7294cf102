#pragma once

#include <array>
#include <base/enum_names.h>
#include <base/time.h>
#include <cstdint>
#include <functional>
#include <libsoup/soup.h>
#include <memory>
#include <runtime/gobject_ptr.h>
#include <runtime/http_message.h>
#include <string>
#include <string_view>
#include <unordered_map>

namespace chivewharf::runtime {

/// How a call ended.
///  - `answered`: the complete response was received.
///  - `not_sent`: no byte of the request was sent.
///  - `withheld`: the `before_send` check returned false; no byte of the request was sent.
///  - `lost`: the request may have been sent, but the connection ended before the response headers
///    were complete.
///  - `timed_out`: the request may have been sent, but the deadline passed before the response was
///    complete; the connection is closed.
///  - `truncated`: the response ended early, or has no Content-Length, so that its completeness
///    cannot be verified.
///  - `too_large`: the response exceeds `http_call::max_response_bytes`.
///  - `cancelled`: the owner cancelled the call after the request may have been sent.
enum class call_outcome : std::uint8_t {
    answered,
    not_sent,
    withheld,
    lost,
    timed_out,
    truncated,
    too_large,
    cancelled
};

/// A request to send. `timeout` covers the whole call, from `http_client::send` to the end of the
/// response.
struct http_call {
    std::string method = "POST";
    std::string url;
    std::vector<http_header> headers;
    std::string body;
    std::string content_type = "application/json";
    duration timeout = seconds{1};
    std::size_t max_response_bytes = std::size_t{1024} * 1024;
};

/// Result of a call. The status, the body and the header fields are valid only if the outcome is
/// `answered`.
struct call_result {
    call_outcome outcome = call_outcome::not_sent;
    unsigned status = 0;
    std::string body;
    std::string message; ///< error text; empty if the outcome is `answered`
    gobject_ptr<SoupMessage> soup_message;

    /// Value of a response header; empty if it is absent.
    std::string_view header(const char* name) const;
};

/// A call in progress. It keeps itself alive until it has ended.
class http_client_call;

/// Limits of an `http_client`.
struct http_client_limits {
    /// Maximum number of calls in progress. Calls beyond it end as `not_sent`. Idle connections are
    /// not counted.
    int max_connections = 4096;
    int max_connections_per_host = 64;
    /// Time after which an idle connection is closed. It is shorter than the idle timeout of a
    /// typical server (often 5 s), because if the server closes the connection while a request is
    /// being sent, it is unknown whether the request was processed.
    unsigned idle_timeout_seconds = 4;
};

/// HTTP/1.1 client based on libsoup for one kind of remote service. Each request is sent at most
/// once: libsoup's automatic retry on a reused connection is suppressed, and redirects are not
/// followed.
class http_client {
public:
    using done_function = std::function<void(call_result)>;
    /// Called immediately before the first byte is written. If it returns false, the request is not
    /// sent.
    using before_send_function = std::function<bool()>;

    explicit http_client(const http_client_limits& limits);

    /// Starts a call. `done` is called exactly once, from the main loop and never from within
    /// `send`, unless `http_client_call::abandon` is called on the returned object.
    std::shared_ptr<http_client_call> send(http_call call, done_function done,
                                           before_send_function before_send = {});

private:
    /// libsoup session for one `HOST:PORT`. On each request, a session reads from all of its idle
    /// connections to detect closed ones; a session shared by 8 workers made 95 system calls per
    /// request.
    struct host_session {
        gobject_ptr<SoupSession> session;
        time_point last_used;
    };

    SoupSession* session_for(std::string_view url, time_point now);

    http_client_limits limits_;
    std::unordered_map<std::string, host_session> sessions_;
    time_point next_cleanup_{};
    std::shared_ptr<int> calls_in_progress_ = std::make_shared<int>(0);
};

} // namespace chivewharf::runtime

template <>
struct chivewharf::enum_names<chivewharf::runtime::call_outcome> {
    static constexpr std::array<std::string_view, 8> names{"answered",  "not_sent",  "withheld",
                                                           "lost",      "timed_out", "truncated",
                                                           "too_large", "cancelled"};
};
