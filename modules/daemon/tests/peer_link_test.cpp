#include <daemon/peer_link.h>
#include <gtest/gtest.h>
#include <runtime/socket_address.h>
#include <runtime/tests/loop.h>
#include <string>
#include <sys/socket.h>
#include <utility>
#include <vector>

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

/// The two ends of a TCP connection.
std::pair<runtime::gobject_ptr<GSocketConnection>, runtime::gobject_ptr<GSocketConnection>>
connected_pair()
{
    const auto listener = runtime::open_listener("127.0.0.1:0", 1);
    const auto address = runtime::parse_socket_address(
        "127.0.0.1:" + std::to_string(runtime::local_port(listener->get())));
    socket_ptr caller{
        g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr)};
    g_socket_connect(caller.get(), address->get(), nullptr, nullptr);
    g_socket_set_blocking(listener->get(), TRUE);
    const socket_ptr accepted{g_socket_accept(listener->get(), nullptr, nullptr)};
    using connection = runtime::gobject_ptr<GSocketConnection>;
    return {connection{g_socket_connection_factory_create_connection(caller.get())},
            connection{g_socket_connection_factory_create_connection(accepted.get())}};
}

/// Two linked hosts, `a` and `b`, that count what they receive.
struct linked_pair {
    struct host {
        peer_link::link_ptr link;
        bool ready = false;
        bool closed = false;
        std::vector<std::string> received; ///< bodies of the configuration records
    };

    linked_pair()
    {
        auto ends = connected_pair();
        a.link = open(std::move(ends.first), wire::link_side::connecting, "a", a);
        b.link = open(std::move(ends.second), wire::link_side::accepting, "b", b);
        EXPECT_TRUE(runtime::test::run_until([this] { return a.ready && b.ready; }));
    }
    ~linked_pair()
    {
        a.link->close("the test has ended");
        b.link->close("the test has ended");
    }
    linked_pair(const linked_pair&) = delete;
    linked_pair& operator=(const linked_pair&) = delete;

    peer_link::link_ptr open(runtime::gobject_ptr<GSocketConnection> connection,
                             wire::link_side side, const std::string& name, host& owner)
    {
        peer_link::event_handlers handlers;
        handlers.ready = [&owner](const peer_link::link_ptr&) { owner.ready = true; };
        handlers.received = [&owner](const peer_link::link_ptr&, const wire::message& message) {
            if (const auto* record = std::get_if<wire::config_record>(&message))
                owner.received.push_back(record->body);
        };
        handlers.closed = [&owner](const peer_link::link_ptr&, const std::string&) {
            owner.closed = true;
        };
        wire::hello self;
        self.domain = "d";
        self.host = name;
        self.incarnation = side == wire::link_side::connecting ? 1 : 2;
        return peer_link::open(std::move(connection), side, self, "key", random, handlers);
    }

    rng random{1};
    host a;
    host b;
};

// Guards against messages that a stopping host has queued and that end with its process: those that
// the socket has not taken yet, and those that the peer has not read when the connection is reset
// because the stopping host has unread bytes.
TEST(peer_link, finish_delivers_every_queued_message)
{
    constexpr std::size_t messages = 60;
    linked_pair hosts;
    const std::string body(std::size_t{100} * 1024, 'x');
    hosts.b.link->send(wire::config_record{1, body});
    for (std::size_t i = 0; i < messages; ++i)
        hosts.a.link->send(wire::config_record{i, body});
    hosts.a.link->finish();
    EXPECT_FALSE(hosts.a.closed);
    hosts.a.link->send(wire::config_record{messages, body});
    ASSERT_TRUE(runtime::test::run_until([&] { return hosts.a.closed && hosts.b.closed; }));
    EXPECT_EQ(hosts.b.received.size(), messages);
}

// Guards against a stopping host that acts on messages after it has given everything up.
TEST(peer_link, finishing_link_receives_nothing)
{
    linked_pair hosts;
    hosts.b.link->send(wire::config_record{1, "late"});
    hosts.a.link->finish();
    ASSERT_TRUE(runtime::test::run_until([&] { return hosts.a.closed && hosts.b.closed; }));
    EXPECT_TRUE(hosts.a.received.empty());
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
