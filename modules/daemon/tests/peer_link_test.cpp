#include <daemon/peer_link.h>
#include <gtest/gtest.h>
#include <runtime/socket_address.h>
#include <sys/socket.h>

namespace chivewharf::daemon {
namespace {

using socket_ptr = runtime::gobject_ptr<GSocket>;

/// A connection that its peer has reset before any data was read.
runtime::gobject_ptr<GSocketConnection> reset_connection()
{
    const auto listener = runtime::open_listener("127.0.0.1:0", 1);
    const auto address = runtime::parse_socket_address(
        "127.0.0.1:" + std::to_string(runtime::local_port(listener->get())));
    socket_ptr caller{
        g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr)};
    g_socket_connect(caller.get(), address->get(), nullptr, nullptr);
    g_socket_set_blocking(listener->get(), TRUE);
    const socket_ptr accepted{g_socket_accept(listener->get(), nullptr, nullptr)};
    const linger reset_on_close{1, 0};
    setsockopt(g_socket_get_fd(caller.get()), SOL_SOCKET, SO_LINGER, &reset_on_close,
               sizeof reset_on_close);
    g_socket_close(caller.get(), nullptr);
    g_socket_condition_wait(accepted.get(), G_IO_IN, nullptr, nullptr);
    return runtime::gobject_ptr<GSocketConnection>{
        g_socket_connection_factory_create_connection(accepted.get())};
}

// Guards against a failed write that calls `closed` from within `open` or `send`. The owner would
// then add a link that is already closed and never remove it, and a core that sends a message would
// be called back during its own call.
TEST(peer_link, failed_write_is_reported_from_the_loop)
{
    rng random{1};
    bool opened = false;
    bool closed_within_open = false;
    bool closed = false;
    auto* loop = g_main_loop_new(nullptr, FALSE);
    peer_link::event_handlers handlers;
    handlers.closed = [&](const peer_link::link_ptr&, const std::string&) {
        closed = true;
        closed_within_open = !opened;
        g_main_loop_quit(loop);
    };
    wire::hello self;
    self.domain = "d";
    self.host = "a";
    const auto link = peer_link::open(reset_connection(), wire::link_side::accepting, self, "key",
                                      random, handlers);
    opened = true;
    EXPECT_FALSE(closed_within_open);
    if (!closed)
        g_main_loop_run(loop);
    EXPECT_TRUE(closed);
    g_main_loop_unref(loop);
}

} // namespace
} // namespace chivewharf::daemon
