#pragma once

#include <memory>
#include <runtime/http_client.h>
#include <runtime/timer.h>

namespace chivewharf::runtime {

/// One request of an `http_client`. It keeps itself alive until `done` has run.
class http_client_call : public std::enable_shared_from_this<http_client_call> {
public:
    /// Used by `http_client::send` only.
    /// \param session none if the client's limit is reached, which ends the call as `not_sent`
    /// \param calls incremented while the call is in progress
    static std::shared_ptr<http_client_call> start(SoupSession* session, std::shared_ptr<int> calls,
                                                   http_call call, http_client::done_function done,
                                                   http_client::before_send_function before_send);

    http_client_call(const http_client_call&) = delete;
    http_client_call& operator=(const http_client_call&) = delete;
    http_client_call(http_client_call&&) = delete;
    http_client_call& operator=(http_client_call&&) = delete;
    ~http_client_call();

    /// Ends the call and closes its connection. `done` runs with `cancelled`, or with `not_sent`
    /// if no byte had left.
    void cancel();

    /// Like `cancel`, but `done` does not run.
    void abandon();

private:
    http_client_call(std::shared_ptr<int> calls, http_call call, http_client::done_function done,
                     http_client::before_send_function before_send);

    static void starting(SoupMessage* message, gpointer self);
    static void restarted(SoupMessage* message, gpointer self);
    static void response_started(GObject* session, GAsyncResult* result, gpointer self);
    static void chunk_read(GObject* stream, GAsyncResult* result, gpointer self);

    bool build_message();
    void send(SoupSession* session);
    void check_connected();
    void refuse(std::string message);
    void read_available();
    bool take(gssize size, GError* error);
    void stop(call_outcome why);
    void fail(GError* error);
    void finish_body();
    void finish(call_outcome outcome, std::string message = {});

    std::shared_ptr<int> calls_;
    http_call call_;
    http_client::done_function done_;
    http_client::before_send_function before_send_;
    gobject_ptr<SoupSession> session_; ///< kept until the response has been read
    gobject_ptr<SoupMessage> message_;
    gobject_ptr<GCancellable> cancellable_;
    gobject_ptr<GInputStream> stream_;
    timer deadline_;
    std::string body_;
    std::string buffer_;
    std::shared_ptr<http_client_call> self_;
    call_outcome stop_reason_ = call_outcome::lost;
    bool may_have_left_ = false;
    bool finished_ = false;
};

} // namespace chivewharf::runtime
