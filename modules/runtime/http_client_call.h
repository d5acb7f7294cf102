#pragma once

#include <memory>
#include <runtime/http_client.h>
#include <runtime/timer.h>

namespace chivewharf::runtime {

/// A call of an `http_client` that is in progress. It keeps itself alive until `done` has returned.
class http_client_call : public std::enable_shared_from_this<http_client_call> {
public:
    /// Used by `http_client::send` only.
    /// \param session null if the client's limit is reached; the call then ends as `not_sent`
    /// \param calls_in_progress counter that includes this call until the object is destroyed
    static std::shared_ptr<http_client_call> start(SoupSession* session,
                                                   std::shared_ptr<int> calls_in_progress,
                                                   http_call call, http_client::done_function done,
                                                   http_client::before_send_function before_send);

    http_client_call(const http_client_call&) = delete;
    http_client_call& operator=(const http_client_call&) = delete;
    http_client_call(http_client_call&&) = delete;
    http_client_call& operator=(http_client_call&&) = delete;
    ~http_client_call();

    /// Ends the call and closes its connection. `done` is called with `cancelled`, or with
    /// `not_sent` if no byte was sent.
    void cancel();

    /// Like `cancel`, but `done` is not called.
    void abandon();

private:
    http_client_call(std::shared_ptr<int> calls_in_progress, http_call call,
                     http_client::done_function done,
                     http_client::before_send_function before_send);

    static void starting(SoupMessage* message, gpointer self);
    static void restarted(SoupMessage* message, gpointer self);
    static void response_started(GObject* session, GAsyncResult* result, gpointer self);
    static void chunk_read(GObject* stream, GAsyncResult* result, gpointer self);

    bool build_message();
    void send(SoupSession* session);
    void check_connected();
    /// Ends the call as `timed_out` after this number of iterations of the main loop, unless the
    /// response has been read by then.
    void expire(int iterations);
    void fail_unsent(std::string message);
    void read_available();
    /// Handles the result of a read: appends the bytes in `buffer_` to the body, or ends the call.
    /// \return true if the next read may start
    bool append_chunk(gssize size, GError* error);
    void stop(call_outcome outcome);
    void fail(GError* error);
    void finish_body();
    void finish(call_outcome outcome, std::string message = {});

    std::shared_ptr<int> calls_in_progress_;
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
    bool may_have_been_sent_ = false;
    bool finished_ = false;
};

} // namespace chivewharf::runtime
