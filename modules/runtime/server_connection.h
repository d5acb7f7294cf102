#pragma once

#include <base/time.h>
#include <cstdint>
#include <deque>
#include <gio/gio.h>
#include <memory>
#include <optional>
#include <runtime/connection_end.h>
#include <runtime/gobject_ptr.h>
#include <runtime/http_exchange.h>
#include <runtime/request_scanner.h>
#include <runtime/request_stream.h>

namespace chivewharf::runtime {

class http_server;

/// State of an open connection of an `http_server`, and whether it may be closed.
struct server_connection {
    /// A caller that has just connected, or received a response, is likely to send a request at
    /// once. It takes at least a round trip to arrive.
    static constexpr duration min_rest = milliseconds{500};

    http_server* server; ///< null after the server has been destroyed
    gobject_ptr<GSocket> socket;
    std::shared_ptr<receive_state> state = std::make_shared<receive_state>();
    std::weak_ptr<http_exchange> exchange{};     ///< the one that awaits its response
    std::optional<time_point> receiving_since{}; ///< first byte of a request that is incomplete
    time_point last_used = boot_clock::now();    ///< a byte arrived, or a response was written
    duration idle_timeout{};                     ///< in force when its last response was written
    bool in_handler = false;
    bool body_refused = false; ///< a response is sent while the rest of the body is discarded
    std::uint64_t number = 0;  ///< in the budget
    request_scanner scanner{};
    /// Requests that have arrived and are not answered, the oldest first. Those behind the first
    /// are still bytes in the read buffer.
    std::deque<request_size> complete{};

    /// True if nothing of a request has arrived, neither here nor in the socket, and no response is
    /// being written.
    bool between_requests() const;

    /// True if the connection can be closed without loss: it is between two requests, the caller
    /// has received every response, and no request is likely to be on its way.
    bool unused(time_point now) const;

    /// True if the caller has not used the connection, or not read its response, for too long.
    /// \param current_timeout timeout of the limits in force; 0 for none
    bool exceeds_idle_timeout(duration current_timeout, time_point now) const;

    /// True if a request has not arrived completely in time.
    bool exceeds_request_timeout(duration timeout, time_point now) const;

    connection_end describe_end(end_cause cause, reason limit, time_point now) const;

    /// Ends the connection. Nothing is read from it afterwards.
    void end();

private:
    request_stage stage() const;
    /// Time for which the caller has not read a response completely; 0 if there is none.
    duration response_unread_for(time_point now) const;
};

} // namespace chivewharf::runtime
