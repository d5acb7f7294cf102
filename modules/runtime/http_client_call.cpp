#include <runtime/http_client_call.h>

#include <algorithm>
#include <utility>

namespace chivewharf::runtime {

namespace {

/// A call whose connection is not established within this time ends as `not_sent`, so that the
/// request can be sent to another server before its deadline.
constexpr duration connect_timeout = milliseconds{500};

/// Iterations of the main loop between the deadline and the end of the call. After a pause of the
/// process, a response may have arrived in time that the loop has not read, which may take several
/// iterations.
constexpr int iterations_after_deadline = 8;

constexpr std::size_t first_read_bytes = 4096;
constexpr std::size_t later_read_bytes = 65536;

} // namespace

std::shared_ptr<http_client_call>
http_client_call::start(SoupSession* session, std::shared_ptr<int> calls_in_progress,
                        http_call call, http_client::done_function done,
                        http_client::before_send_function before_send)
{
    std::shared_ptr<http_client_call> started{new http_client_call{
        std::move(calls_in_progress), std::move(call), std::move(done), std::move(before_send)}};
    started->self_ = started;
    started->send(session);
    return started;
}

http_client_call::http_client_call(std::shared_ptr<int> calls_in_progress, http_call call,
                                   http_client::done_function done,
                                   http_client::before_send_function before_send)
    : calls_in_progress_{std::move(calls_in_progress)}, call_{std::move(call)}, done_{std::move(
                                                                                    done)},
      before_send_{std::move(before_send)}, cancellable_{g_cancellable_new()}
{
    ++*calls_in_progress_;
}

http_client_call::~http_client_call()
{
    --*calls_in_progress_;
    if (message_)
        g_signal_handlers_disconnect_by_data(message_.get(), this);
}

bool http_client_call::build_message()
{
    message_.reset(soup_message_new(call_.method.c_str(), call_.url.c_str()));
    if (!message_)
        return false;
    // libsoup keeps a connection open after a POST only with this flag. The flag also permits
    // automatic retries, which starting() and restarted() prevent.
    soup_message_add_flags(message_.get(), SOUP_MESSAGE_IDEMPOTENT);
    soup_message_add_flags(message_.get(), SOUP_MESSAGE_NO_REDIRECT);
    auto* headers = soup_message_get_request_headers(message_.get());
    for (const auto& field : call_.headers)
        soup_message_headers_append(headers, field.name.c_str(), field.value.c_str());
    if (call_.method != "GET") {
        const gbytes_ptr body{g_bytes_new(call_.body.data(), call_.body.size())};
        soup_message_set_request_body_from_bytes(message_.get(), call_.content_type.c_str(),
                                                 body.get());
    }
    g_signal_connect(message_.get(), "starting", G_CALLBACK(&http_client_call::starting), this);
    g_signal_connect(message_.get(), "restarted", G_CALLBACK(&http_client_call::restarted), this);
    return true;
}

void http_client_call::send(SoupSession* session)
{
    if (session == nullptr) {
        fail_unsent("the limit on calls in progress is reached");
        return;
    }
    if (!build_message()) {
        fail_unsent("invalid URL \"" + call_.url + '"');
        return;
    }
    session_ = retain(session);
    deadline_.once(std::min(call_.timeout, connect_timeout), [this] { check_connected(); });
    soup_session_send_async(session, message_.get(), G_PRIORITY_DEFAULT, cancellable_.get(),
                            &http_client_call::response_started, this);
}

void http_client_call::check_connected()
{
    if (!may_have_been_sent_)
        stop(call_outcome::not_sent);
    else if (call_.timeout <= connect_timeout)
        expire(iterations_after_deadline);
    else
        deadline_.once(call_.timeout - connect_timeout,
                       [this] { expire(iterations_after_deadline); });
}

void http_client_call::expire(int iterations)
{
    if (iterations == 0) {
        stop(call_outcome::timed_out);
        return;
    }
    // A timer that is armed in its callback fires no earlier than the next iteration.
    deadline_.once(duration{0}, [this, iterations] { expire(iterations - 1); });
}

void http_client_call::fail_unsent(std::string message)
{
    // Reported from the main loop, so that `done` is never called from within http_client::send().
    deadline_.once(duration{0},
                   [this, text = std::move(message)] { finish(call_outcome::not_sent, text); });
}

void http_client_call::cancel()
{
    stop(call_outcome::cancelled);
}

void http_client_call::abandon()
{
    done_ = nullptr;
    stop(call_outcome::cancelled);
}

void http_client_call::stop(call_outcome outcome)
{
    if (finished_ || g_cancellable_is_cancelled(cancellable_.get()) != FALSE)
        return;
    stop_reason_ = outcome;
    g_cancellable_cancel(cancellable_.get());
}

void http_client_call::starting(SoupMessage* /*message*/, gpointer self)
{
    auto* call = static_cast<http_client_call*>(self);
    if (call->may_have_been_sent_) {
        call->stop(call_outcome::lost);
        return;
    }
    if (call->before_send_ && !call->before_send_()) {
        call->stop(call_outcome::withheld);
        return;
    }
    call->may_have_been_sent_ = true;
}

void http_client_call::restarted(SoupMessage* /*message*/, gpointer self)
{
    auto* call = static_cast<http_client_call*>(self);
    if (call->may_have_been_sent_)
        call->stop(call_outcome::lost);
}

void http_client_call::response_started(GObject* session, GAsyncResult* result, gpointer self)
{
    auto* call = static_cast<http_client_call*>(self);
    GError* error = nullptr;
    call->stream_.reset(soup_session_send_finish(SOUP_SESSION(session), result, &error));
    if (!call->stream_) {
        call->fail(error);
        return;
    }
    call->buffer_.resize(first_read_bytes);
    call->read_available();
}

void http_client_call::read_available()
{
    // Reads the data that is already available synchronously, because each asynchronous read costs
    // an iteration of the main loop.
    auto* pollable = G_IS_POLLABLE_INPUT_STREAM(stream_.get())
                         ? G_POLLABLE_INPUT_STREAM(stream_.get())
                         : nullptr;
    while (pollable != nullptr && g_pollable_input_stream_can_poll(pollable) != FALSE) {
        GError* error = nullptr;
        const auto size = g_pollable_input_stream_read_nonblocking(
            pollable, buffer_.data(), buffer_.size(), cancellable_.get(), &error);
        if (size < 0 && g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE) {
            g_error_free(error);
            break;
        }
        if (!append_chunk(size, error))
            return;
    }
    g_input_stream_read_async(stream_.get(), buffer_.data(), buffer_.size(), G_PRIORITY_DEFAULT,
                              cancellable_.get(), &http_client_call::chunk_read, this);
}

void http_client_call::chunk_read(GObject* stream, GAsyncResult* result, gpointer self)
{
    auto* call = static_cast<http_client_call*>(self);
    GError* error = nullptr;
    const auto size = g_input_stream_read_finish(G_INPUT_STREAM(stream), result, &error);
    if (call->append_chunk(size, error))
        call->read_available();
}

bool http_client_call::append_chunk(gssize size, GError* error)
{
    if (size < 0) {
        fail(error);
        return false;
    }
    if (size == 0) {
        finish_body();
        return false;
    }
    const auto bytes = static_cast<std::size_t>(size);
    if (body_.size() + bytes > call_.max_response_bytes) {
        finish(call_outcome::too_large,
               "response is larger than " + std::to_string(call_.max_response_bytes) + " bytes");
        return false;
    }
    body_.append(buffer_, 0, bytes);
    if (bytes == buffer_.size() && buffer_.size() < later_read_bytes)
        buffer_.resize(later_read_bytes);
    return true;
}

void http_client_call::finish_body()
{
    auto* headers = soup_message_get_response_headers(message_.get());
    const auto encoding = soup_message_headers_get_encoding(headers);
    if (encoding == SOUP_ENCODING_EOF || encoding == SOUP_ENCODING_CHUNKED) {
        // The connection also ends when a runner dies, and libsoup 3.2 treats the end of the
        // connection between two chunks as the end of the body.
        finish(call_outcome::truncated, "response has no Content-Length");
        return;
    }
    if (encoding == SOUP_ENCODING_CONTENT_LENGTH &&
        static_cast<std::size_t>(soup_message_headers_get_content_length(headers)) !=
            body_.size()) {
        finish(call_outcome::truncated, "response ended before its declared length");
        return;
    }
    finish(call_outcome::answered);
}

void http_client_call::fail(GError* error)
{
    const gerror_ptr owner{error};
    if (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CANCELLED)) {
        const bool unsent = !may_have_been_sent_ && stop_reason_ != call_outcome::withheld;
        finish(unsent ? call_outcome::not_sent : stop_reason_, error->message);
        return;
    }
    if (!may_have_been_sent_) {
        finish(call_outcome::not_sent, error->message);
        return;
    }
    finish(stream_ ? call_outcome::truncated : call_outcome::lost, error->message);
}

void http_client_call::finish(call_outcome outcome, std::string message)
{
    if (finished_)
        return;
    finished_ = true;
    deadline_.cancel();
    const auto keep_alive = std::move(self_);
    // Closes the connection if the response was not read to its end.
    if (stream_ && outcome != call_outcome::answered)
        g_cancellable_cancel(cancellable_.get());
    stream_.reset();
    if (!done_)
        return;
    call_result result;
    result.outcome = outcome;
    result.message = std::move(message);
    if (outcome == call_outcome::answered)
        result.status = soup_message_get_status(message_.get());
    result.body = std::move(body_);
    result.soup_message = std::move(message_);
    if (result.soup_message)
        g_signal_handlers_disconnect_by_data(result.soup_message.get(), this);
    std::exchange(done_, nullptr)(std::move(result));
}

} // namespace chivewharf::runtime
