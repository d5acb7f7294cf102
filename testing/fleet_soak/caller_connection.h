#pragma once

#include <base/time.h>
#include <deque>
#include <functional>
#include <memory>
#include <runtime/gobject_ptr.h>
#include <string>
#include <string_view>

namespace chivewharf::fleet_soak {

/// A request whose last byte was written and whose response is not complete.
struct written_request {
    std::string job; ///< id of the job that it submits; empty if it submits none
    time_point deadline{};
    time_point written{};
    /// The end of the connection was visible immediately after the last byte was written, so the
    /// host had ended it before it could read that byte.
    bool end_visible_when_written = false;
};

/// A response as far as the callers of the soak use it.
struct caller_response {
    unsigned status = 0;
    bool closes = false; ///< the host closes the connection after it
};

/// Connection of a caller to a host. It sends raw bytes, so that the caller knows when the last
/// byte of a request was written, and it stays open until the host ends it or the owner drops it.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
public:
    struct handlers {
        std::function<void()> connected;
        std::function<void(const written_request&, const caller_response&)> responded;
        /// The host has ended the connection, or it could not be established.
        std::function<void()> ended;
    };

    /// Connects to `IP:PORT`.
    static std::shared_ptr<caller_connection> open(const std::string& address, handlers on_event);
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;
    ~caller_connection();

    /// Writes a part of a request that is not its end.
    void write_part(std::string_view bytes);
    /// Writes the last bytes of a request.
    void write_end(std::string_view bytes, written_request request);

    /// True if the host has ended the connection, whether or not the loop has seen it.
    bool end_visible() const;
    bool connected() const noexcept { return connected_; }
    /// True if bytes of an incomplete response have arrived.
    bool response_begun() const noexcept { return !received_.empty(); }
    /// Requests without a complete response, the oldest first.
    const std::deque<written_request>& unanswered() const noexcept { return unanswered_; }
    std::size_t responses() const noexcept { return responses_; }

private:
    caller_connection(runtime::gobject_ptr<GSocket> socket, handlers on_event);

    static gboolean ready(GSocket* socket, GIOCondition condition, gpointer self);
    void watch(GIOCondition condition);
    bool complete_connect();
    bool receive();
    void take_responses();

    runtime::gobject_ptr<GSocket> socket_;
    handlers on_event_;
    GSource* source_ = nullptr;
    bool connected_ = false;
    std::string received_;
    std::deque<written_request> unanswered_;
    std::size_t responses_ = 0;
};

} // namespace chivewharf::fleet_soak
