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
///  - `answered`: the whole response arrived.
///  - `not_sent`: no byte of the request left this process.
///  - `withheld`: the `before_send` check refused; no byte left this process.
///  - `lost`: the connection ended after the request may have left and before the whole response.
///  - `timed_out`: like `lost`, because the deadline passed; the connection is closed.
///  - `truncated`: the response ended before its declared length, or declared none, so that it
///  cannot
///    be proved whole.
///  - `too_large`: the response was larger than the call allows.
///  - `cancelled`: the owner cancelled the call after the request may have left.
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

/// A request to send.
struct http_call {
    std::string method = "POST";
    std::string url;
    std::vector<http_header> headers;
    std::string body;
    std::string content_type = "application/json";
    duration timeout = seconds{1};
    std::size_t max_response_bytes = std::size_t{1024} * 1024;
};

/// What came of a call. Status, body and the header fields hold only when it was answered.
struct call_result {
    call_outcome outcome = call_outcome::not_sent;
    unsigned status = 0;
    std::string body;
    std::string message;
    gobject_ptr<SoupMessage> soup_message;

    /// Value of a response header; empty if it is absent.
    std::string_view header(const char* name) const;
};

/// A call in progress. It keeps itself alive until it has ended.
class http_client_call;

/// Limits of an `http_client`.
struct http_client_limits {
    /// Calls in progress; further ones end as `not_sent`. Idle connections are not counted.
    int max_connections = 4096;
    int max_connections_per_host = 64;
    /// Idle connections are closed before a typical server closes them (often 5 s), because a
    /// request that meets the server's close is lost in an unknown state.
    unsigned idle_timeout_seconds = 4;
};

/// HTTP/1.1 client on libsoup for one kind of outside system. It sends a request at most once:
/// libsoup's own second send on a reused connection is stopped, and redirects are not followed.
class http_client {
public:
    using done_function = std::function<void(call_result)>;
    /// Runs right before the first byte is written; returning false withholds the request.
    using before_send_function = std::function<bool()>;

    explicit http_client(const http_client_limits& limits);

    /// Starts a call. The `done` function runs exactly once, from the loop, unless the returned
    /// call is dropped with `http_client_call::abandon`.
    std::shared_ptr<http_client_call> send(http_call call, done_function done,
                                           before_send_function before_send = {});

private:
    /// One session for each host. A session probes all of its idle connections with a read for
    /// each request: with one session for 8 workers, that was 95 system calls a request.
    struct host_session {
        gobject_ptr<SoupSession> session;
        time_point last_used;
    };

    SoupSession* session_for(std::string_view url, time_point now);

    http_client_limits limits_;
    std::unordered_map<std::string, host_session> sessions_;
    time_point next_cleanup_{};
    std::shared_ptr<int> calls_ = std::make_shared<int>(0);
};

} // namespace chivewharf::runtime

template <>
struct chivewharf::enum_names<chivewharf::runtime::call_outcome> {
    static constexpr std::array<std::string_view, 8> names{"answered",  "not_sent",  "withheld",
                                                           "lost",      "timed_out", "truncated",
                                                           "too_large", "cancelled"};
};
