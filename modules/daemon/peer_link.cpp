#include <daemon/peer_link.h>

#include <algorithm>

namespace chivewharf::daemon {

namespace {

constexpr std::size_t read_bytes = 16384;
constexpr std::size_t max_queued_bytes = 8U << 20U;
constexpr duration least_check = milliseconds{50};
constexpr duration greatest_check = milliseconds{250};

} // namespace

peer_link::link_ptr peer_link::open(runtime::gobject_ptr<GSocketConnection> connection,
                                    wire::link_side side, wire::hello self, const std::string& key,
                                    rng& random, observer observe)
{
    link_ptr link{new peer_link{std::move(connection), side, std::move(self), key, random,
                                std::move(observe)}};
    link->self_ = link;
    link->send(link->handshake_.greeting());
    link->read_more();
    link->schedule_check();
    return link;
}

peer_link::peer_link(runtime::gobject_ptr<GSocketConnection> connection, wire::link_side side,
                     wire::hello self, const std::string& key, rng& random, observer observe)
    : connection_{std::move(connection)}, cancellable_{g_cancellable_new()}, side_{side},
      handshake_{side, std::move(self), key, random, boot_clock::now()},
      monitor_{boot_clock::now()}, observe_{std::move(observe)}, last_received_{boot_clock::now()}
{
    read_buffer_.resize(read_bytes);
}

peer_link::~peer_link() = default;

void peer_link::send(const wire::message& message)
{
    if (closed_)
        return;
    const auto frame = wire::encode(message);
    bytes_sent_ += frame.size();
    queued_ += frame;
    if (queued_.size() > max_queued_bytes) {
        close("the peer does not read");
        return;
    }
    monitor_.on_sent(boot_clock::now());
    write_more();
}

void peer_link::write_more()
{
    if (!writing_.empty() || queued_.empty() || closed_)
        return;
    writing_.swap(queued_);
    auto* stream = g_io_stream_get_output_stream(G_IO_STREAM(connection_.get()));
    g_output_stream_write_all_async(stream, writing_.data(), writing_.size(), G_PRIORITY_DEFAULT,
                                    cancellable_.get(), &peer_link::bytes_written,
                                    new link_ptr{shared_from_this()});
}

void peer_link::bytes_written(GObject* stream, GAsyncResult* result, gpointer self)
{
    const std::unique_ptr<link_ptr> holder{static_cast<link_ptr*>(self)};
    auto& link = **holder;
    GError* error = nullptr;
    const bool written =
        g_output_stream_write_all_finish(G_OUTPUT_STREAM(stream), result, nullptr, &error) != FALSE;
    const runtime::gerror_ptr owner{error};
    link.writing_.clear();
    if (!written)
        link.close(error->message);
    else
        link.write_more();
}

void peer_link::read_more()
{
    if (closed_)
        return;
    auto* stream = g_io_stream_get_input_stream(G_IO_STREAM(connection_.get()));
    g_input_stream_read_async(stream, read_buffer_.data(), read_buffer_.size(), G_PRIORITY_DEFAULT,
                              cancellable_.get(), &peer_link::bytes_read,
                              new link_ptr{shared_from_this()});
}

void peer_link::bytes_read(GObject* stream, GAsyncResult* result, gpointer self)
{
    const std::unique_ptr<link_ptr> holder{static_cast<link_ptr*>(self)};
    auto& link = **holder;
    GError* error = nullptr;
    const auto size = g_input_stream_read_finish(G_INPUT_STREAM(stream), result, &error);
    const runtime::gerror_ptr owner{error};
    if (size <= 0) {
        link.close(size == 0 ? "the peer closed the connection" : error->message);
        return;
    }
    link.last_received_ = boot_clock::now();
    link.monitor_.on_received(link.last_received_);
    link.decoder_.feed({link.read_buffer_.data(), static_cast<std::size_t>(size)});
    link.take_messages();
    link.read_more();
}

void peer_link::take_messages()
{
    while (!closed_) {
        auto next = decoder_.next();
        if (!next) {
            close("bad frame: " + next.error().message);
            return;
        }
        if (!*next || !take(std::move(**next)))
            return;
    }
}

bool peer_link::take(wire::message message)
{
    const auto now = boot_clock::now();
    if (handshake_.done()) {
        if (!std::holds_alternative<wire::ping>(message))
            observe_.received(shared_from_this(), std::move(message));
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
        observe_.ready(shared_from_this());
    }
    return true;
}

void peer_link::schedule_check()
{
    const auto now = boot_clock::now();
    auto next = monitor_.next_check();
    if (!handshake_.done())
        next = std::min(next, handshake_.deadline());
    const duration wait = std::clamp<duration>(next - now, least_check, greatest_check);
    check_timer_.once(wait, [this] { check(); });
}

void peer_link::check()
{
    const auto now = boot_clock::now();
    if (const auto in_time = handshake_.check(now); !in_time) {
        close("handshake failed: " + in_time.error().message);
        return;
    }
    if (handshake_.done())
        keep_alive(now);
    if (!closed_)
        schedule_check();
}

void peer_link::keep_alive(time_point now)
{
    const bool wanted = observe_.keep_alive(shared_from_this());
    // The silence before the first request says nothing about the link.
    if (wanted && !keeping_alive_)
        monitor_.on_received(now);
    keeping_alive_ = wanted;
    if (!wanted)
        return;
    const auto action = monitor_.check(now);
    if (action == wire::link_action::close)
        close("nothing was received for too long");
    else if (action == wire::link_action::send_ping)
        send(wire::ping{});
}

void peer_link::close(const std::string& why)
{
    if (closed_)
        return;
    closed_ = true;
    check_timer_.cancel();
    const auto keep = std::move(self_);
    g_cancellable_cancel(cancellable_.get());
    g_socket_close(g_socket_connection_get_socket(connection_.get()), nullptr);
    observe_.closed(keep, why);
}

} // namespace chivewharf::daemon
