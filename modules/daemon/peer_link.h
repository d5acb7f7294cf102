#pragma once

#include <base/rng.h>
#include <deque>
#include <functional>
#include <memory>
#include <runtime/gobject_ptr.h>
#include <runtime/timer.h>
#include <string>
#include <wire/wire.h>

namespace chivewharf::daemon {

/// Protocol on one TCP connection to another host: handshake, framing and keepalive. The object
/// holds a reference to itself until it is closed.
class peer_link : public std::enable_shared_from_this<peer_link> {
public:
    using link_ptr = std::shared_ptr<peer_link>;

    /// Functions that the link calls on the main loop's thread. `closed` may run within `close` or
    /// `send`.
    struct event_handlers {
        std::function<void(const link_ptr&)> ready;
        std::function<void(const link_ptr&, wire::message)> received;
        std::function<void(const link_ptr&, const std::string& cause)> closed;
        /// Returns whether a reply is outstanding in either direction. Only while one is
        /// outstanding does the link send pings and close when the peer is silent, since pings on
        /// every link would exceed the bandwidth budget for control messages. Empty if the owner of
        /// the link detects silence itself.
        std::function<bool(const link_ptr&)> awaits_reply;
    };

    /// Starts the handshake on a connection.
    static link_ptr open(runtime::gobject_ptr<GSocketConnection> connection, wire::link_side side,
                         wire::hello self, const std::string& key, rng& random,
                         event_handlers handlers);

    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;
    peer_link(peer_link&&) = delete;
    peer_link& operator=(peer_link&&) = delete;
    ~peer_link();

    /// Queues a message. The link closes when more than 8 MiB wait to be written.
    void send(const wire::message& message);

    /// Ends the link without a loss of queued messages: writes them, ends the output, and closes
    /// once the other end has closed. Messages that arrive meanwhile are dropped, and further ones
    /// are not sent. A link that is not ready is closed at once.
    void finish();

    /// Closes the link. Calls the handler `closed`, unless the link was closed before. Queued
    /// messages are dropped, and the peer may lose messages that were written before.
    void close(const std::string& cause);

    /// Delivers the messages that have arrived, including those in the socket. That may close the
    /// link.
    /// \return true if any bytes were read from the socket
    bool deliver_unread();

    /// Delivers the messages that have arrived, then closes the link.
    void close_after_reading(const std::string& cause);

    bool ready() const noexcept { return handshake_.done(); }
    wire::link_side side() const noexcept { return side_; }

    /// Handshake message of the other host. Must be called only when `ready`.
    const wire::hello& peer() const { return *handshake_.peer(); }

    time_point ready_since() const noexcept { return ready_since_; }

    /// When bytes last arrived.
    time_point last_received() const noexcept { return last_received_; }

    std::uint64_t bytes_sent() const noexcept { return bytes_sent_; }

private:
    peer_link(runtime::gobject_ptr<GSocketConnection> connection, wire::link_side side,
              wire::hello self, const std::string& key, rng& random, event_handlers handlers);

    int descriptor() const;
    void socket_ready(bool readable, bool writable);
    /// \return true if bytes were read and the link is still open
    bool read_available();
    void write_queued();
    void end_output();
    void process_messages();
    /// \return false if the message closed the link
    bool process_message(wire::message message);
    void check_timeouts();
    void check_keepalive(time_point now);
    void schedule_check();

    runtime::gobject_ptr<GSocketConnection> connection_;
    wire::link_side side_;
    wire::handshake handshake_;
    wire::frame_decoder decoder_;
    wire::link_monitor monitor_;
    event_handlers handlers_;
    std::string read_buffer_;
    std::string write_buffer_;
    std::size_t written_ = 0; ///< bytes of `write_buffer_` that have been written
    std::string write_error_; ///< not empty after a failed write; the link is about to close
    runtime::timer check_timer_;
    std::shared_ptr<peer_link> self_; ///< keeps the object alive until the link is closed
    time_point ready_since_{};
    time_point last_received_;
    std::uint64_t bytes_sent_ = 0;
    bool closed_ = false;
    bool finishing_ = false;
    bool write_blocked_ = false;
    bool keepalive_active_ = false;
};

} // namespace chivewharf::daemon
