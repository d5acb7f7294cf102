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

/// One TCP connection to another entry host: handshake, frames and keepalive. It keeps itself alive
/// until it is closed.
class peer_link : public std::enable_shared_from_this<peer_link> {
public:
    using link_ptr = std::shared_ptr<peer_link>;

    /// Told about the link; each function runs from the loop.
    struct observer {
        std::function<void(const link_ptr&)> ready;
        std::function<void(const link_ptr&, wire::message)> received;
        std::function<void(const link_ptr&, const std::string& why)> closed;
        /// True while an answer is due in either direction. Only then does the link send pings and
        /// expect to hear from the peer, since pings on every link would exceed the control budget.
        /// Empty if the owner notices silence by itself.
        std::function<bool(const link_ptr&)> keep_alive;
    };

    /// Starts the handshake on a connection.
    static link_ptr open(runtime::gobject_ptr<GSocketConnection> connection, wire::link_side side,
                         wire::hello self, const std::string& key, rng& random, observer observe);

    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;
    peer_link(peer_link&&) = delete;
    peer_link& operator=(peer_link&&) = delete;
    ~peer_link();

    /// Queues a message. The link closes when more than 8 MiB wait to be written.
    void send(const wire::message& message);

    /// Closes the link; `closed` is called from here unless it was called before.
    void close(const std::string& why);

    bool ready() const noexcept { return handshake_.done(); }
    wire::link_side side() const noexcept { return side_; }

    /// The other host. Call it only when `ready`.
    const wire::hello& peer() const { return *handshake_.peer(); }

    time_point ready_since() const noexcept { return ready_since_; }

    /// Time at which bytes last arrived.
    time_point last_received() const noexcept { return last_received_; }

    std::uint64_t bytes_sent() const noexcept { return bytes_sent_; }

private:
    peer_link(runtime::gobject_ptr<GSocketConnection> connection, wire::link_side side,
              wire::hello self, const std::string& key, rng& random, observer observe);

    int descriptor() const;
    void socket_ready(bool readable, bool writable);
    void read_available();
    void write_queued();
    void take_messages();
    bool take(wire::message message);
    void check();
    void keep_alive(time_point now);
    void schedule_check();

    runtime::gobject_ptr<GSocketConnection> connection_;
    wire::link_side side_;
    wire::handshake handshake_;
    wire::frame_decoder decoder_;
    wire::link_monitor monitor_;
    observer observe_;
    std::string read_buffer_;
    std::string queued_;
    std::size_t written_ = 0; ///< of what is queued
    std::string failure_;     ///< why a write failed; the link is about to close
    runtime::timer check_timer_;
    std::shared_ptr<peer_link> self_;
    time_point ready_since_{};
    time_point last_received_;
    std::uint64_t bytes_sent_ = 0;
    bool closed_ = false;
    bool waits_to_write_ = false;
    bool keeping_alive_ = false;
};

} // namespace chivewharf::daemon
