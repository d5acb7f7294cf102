#include <daemon/peer_link.h>

#include <algorithm>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <runtime/socket_poller.h>
#include <utility>

namespace chivewharf::daemon {

namespace {

constexpr std::size_t read_bytes = 16384;
constexpr std::size_t max_queued_bytes = 8U << 20U;
/// Reads before a link is closed. Bounded, since the peer may send as fast as its messages are
/// handled.
constexpr std::size_t max_last_reads = max_queued_bytes / read_bytes;
constexpr duration min_check_interval = milliseconds{50};
constexpr duration max_check_interval = milliseconds{250};
/// A host that expects no messages from the other end notices a loss of packets in one direction
/// only through TCP. An idle connection is probed after `keepalive_interval_s` and then at that
/// interval. A connection is closed after `max_unanswered_probes` unanswered probes, or if sent
/// data is not acknowledged within `unacknowledged_limit_ms`.
constexpr int keepalive_interval_s = 1;
constexpr int max_unanswered_probes = 3;
constexpr int unacknowledged_limit_ms = 4000;

/// A connection without these options works, so that an error is ignored.
void detect_dead_direction(GSocket* socket)
{
    g_socket_set_keepalive(socket, TRUE);
    g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_interval_s, nullptr);
    g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_s, nullptr);
    g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, max_unanswered_probes, nullptr);
    g_socket_set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_limit_ms, nullptr);
}

} // namespace

peer_link::link_ptr peer_link::open(runtime::gobject_ptr<GSocketConnection> connection,
                                    wire::link_side side, wire::hello self, const std::string& key,
                                    rng& random, event_handlers handlers)
{
    link_ptr link{new peer_link{std::move(connection), side, std::move(self), key, random,
                                std::move(handlers)}};
    link->self_ = link;
    runtime::socket_poller::instance().add(
        link->descriptor(), [weak = std::weak_ptr<peer_link>{link}](bool readable, bool writable) {
            if (const auto alive = weak.lock())
                alive->socket_ready(readable, writable);
        });
    link->send(link->handshake_.greeting());
    link->schedule_check();
    return link;
}

peer_link::peer_link(runtime::gobject_ptr<GSocketConnection> connection, wire::link_side side,
                     wire::hello self, const std::string& key, rng& random, event_handlers handlers)
    : connection_{std::move(connection)}, side_{side}, handshake_{side, std::move(self), key,
                                                                  random, boot_clock::now()},
      monitor_{boot_clock::now()}, handlers_{std::move(handlers)}, last_received_{boot_clock::now()}
{
    read_buffer_.resize(read_bytes);
    g_socket_set_blocking(g_socket_connection_get_socket(connection_.get()), FALSE);
    detect_dead_direction(g_socket_connection_get_socket(connection_.get()));
}

peer_link::~peer_link() = default;

void peer_link::send(const wire::message& message)
{
    if (closed_ || finishing_ || !write_error_.empty())
        return;
    const auto frame = wire::encode(message);
    bytes_sent_ += frame.size();
    write_buffer_ += frame;
    if (write_buffer_.size() - written_ > max_queued_bytes) {
        close("the peer reads too slowly: more than 8 MiB are queued");
        return;
    }
    monitor_.on_sent(boot_clock::now());
    if (!write_blocked_)
        write_queued();
}

int peer_link::descriptor() const
{
    return g_socket_get_fd(g_socket_connection_get_socket(connection_.get()));
}

void peer_link::socket_ready(bool readable, bool writable)
{
    if (writable && !closed_)
        write_queued();
    if (readable && !closed_)
        read_available();
}

void peer_link::write_queued()
{
    auto* socket = g_socket_connection_get_socket(connection_.get());
    while (written_ < write_buffer_.size()) {
        GError* error = nullptr;
        const auto size = g_socket_send(socket, write_buffer_.data() + written_,
                                        write_buffer_.size() - written_, nullptr, &error);
        const runtime::gerror_ptr owner{error};
        if (size < 0 && g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE)
            break;
        if (size < 0) {
            // The link is closed later, from the main loop, since its owner may be in the middle of
            // a call of `send`.
            write_error_ = error->message;
            schedule_check();
            break;
        }
        written_ += static_cast<std::size_t>(size);
    }
    const bool blocked = write_error_.empty() && written_ < write_buffer_.size();
    if (!blocked) {
        write_buffer_.clear();
        written_ = 0;
    }
    if (std::exchange(write_blocked_, blocked) != blocked)
        runtime::socket_poller::instance().want_write(descriptor(), blocked);
    if (finishing_ && !blocked)
        end_output();
}

void peer_link::end_output()
{
    // An error means that the connection is broken; reading it reports that.
    g_socket_shutdown(g_socket_connection_get_socket(connection_.get()), FALSE, TRUE, nullptr);
}

void peer_link::finish()
{
    if (closed_ || finishing_)
        return;
    if (!handshake_.done()) {
        close("this host is stopping");
        return;
    }
    // Closing the socket with unread bytes would reset the connection, and the peer would lose
    // messages that it has not read yet.
    finishing_ = true;
    if (!write_blocked_)
        end_output();
}

bool peer_link::read_available()
{
    auto* socket = g_socket_connection_get_socket(connection_.get());
    GError* error = nullptr;
    const auto size =
        g_socket_receive(socket, read_buffer_.data(), read_buffer_.size(), nullptr, &error);
    const runtime::gerror_ptr owner{error};
    if (size < 0 && g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE)
        return false;
    if (size <= 0) {
        close(size == 0 ? "the peer closed the connection" : error->message);
        return false;
    }
    last_received_ = boot_clock::now();
    monitor_.on_received(last_received_);
    decoder_.feed({read_buffer_.data(), static_cast<std::size_t>(size)});
    const auto keep = shared_from_this();
    process_messages();
    return !closed_;
}

bool peer_link::deliver_unread()
{
    const auto keep = shared_from_this();
    const auto former = last_received_;
    for (std::size_t reads = 0; reads < max_last_reads && !closed_; ++reads) {
        if (!read_available())
            break;
    }
    return last_received_ != former;
}

void peer_link::close_after_reading(const std::string& cause)
{
    const auto keep = shared_from_this();
    deliver_unread();
    close(cause);
}

void peer_link::process_messages()
{
    while (!closed_) {
        auto next = decoder_.next();
        if (!next) {
            close("bad frame: " + next.error().message);
            return;
        }
        if (!*next || !process_message(std::move(**next)))
            return;
    }
}

bool peer_link::process_message(wire::message message)
{
    const auto now = boot_clock::now();
    if (handshake_.done()) {
        if (!finishing_ && !std::holds_alternative<wire::ping>(message))
            handlers_.received(shared_from_this(), std::move(message));
        return true;
    }
    auto answer = handshake_.receive(message, now);
    if (!answer) {
        close("handshake failed: " + answer.error().message);
        return false;
    }
    if (*answer)
        send(**answer);
    if (handshake_.done()) {
        decoder_.handshake_done();
        ready_since_ = now;
        handlers_.ready(shared_from_this());
    }
    return true;
}

void peer_link::schedule_check()
{
    const auto now = boot_clock::now();
    auto next = monitor_.next_check();
    if (!handshake_.done())
        next = std::min(next, handshake_.deadline());
    const duration wait =
        write_error_.empty()
            ? std::clamp<duration>(next - now, min_check_interval, max_check_interval)
            : duration{0};
    check_timer_.once(wait, [this] { check_timeouts(); });
}

void peer_link::check_timeouts()
{
    const auto keep = shared_from_this();
    const auto now = boot_clock::now();
    if (!write_error_.empty()) {
        close_after_reading(write_error_);
        return;
    }
    if (const auto in_time = handshake_.check(now); !in_time) {
        close("handshake failed: " + in_time.error().message);
        return;
    }
    if (handshake_.done() && !handlers_.awaits_reply)
        return;
    if (handshake_.done())
        check_keepalive(now);
    if (!closed_)
        schedule_check();
}

void peer_link::check_keepalive(time_point now)
{
    const bool awaiting_reply = handlers_.awaits_reply(shared_from_this());
    // Silence while no reply was outstanding is normal, so the silence is measured from now.
    if (awaiting_reply && !keepalive_active_)
        monitor_.on_received(now);
    keepalive_active_ = awaiting_reply;
    if (!awaiting_reply)
        return;
    const auto action = monitor_.check(now);
    // After a pause of this process, the peer's messages may still be in the socket.
    if (action == wire::link_action::close && !deliver_unread())
        close("nothing was received for too long");
    else if (action == wire::link_action::send_ping)
        send(wire::ping{});
}

void peer_link::close(const std::string& cause)
{
    if (closed_)
        return;
    closed_ = true;
    check_timer_.cancel();
    const auto keep = std::move(self_);
    runtime::socket_poller::instance().remove(descriptor());
    g_socket_close(g_socket_connection_get_socket(connection_.get()), nullptr);
    handlers_.closed(keep, cause);
}

} // namespace chivewharf::daemon
