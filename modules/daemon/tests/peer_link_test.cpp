#include <daemon/link_hub.h>
#include <daemon/peer_link.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <runtime/socket_address.h>
#include <runtime/tests/loop.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <utility>
#include <vector>

namespace chivewharf::daemon {
namespace {

using socket_ptr = runtime::gobject_ptr<GSocket>;

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

/// A connection that its peer has reset before any data was read.
runtime::gobject_ptr<GSocketConnection> reset_connection()
{
    auto [caller, accepted] = connected_pair();
    auto* socket = g_socket_connection_get_socket(caller.get());
    const linger reset_on_close{1, 0};
    setsockopt(g_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &reset_on_close,
               sizeof reset_on_close);
    g_socket_close(socket, nullptr);
    g_socket_condition_wait(g_socket_connection_get_socket(accepted.get()), G_IO_IN, nullptr,
                            nullptr);
    return std::move(accepted);
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

wire::hello greeting_of(const std::string& host, std::uint64_t incarnation)
{
    wire::hello greeting;
    greeting.domain = "d";
    greeting.host = host;
    greeting.incarnation = incarnation;
    return greeting;
}

void run_until(const std::function<bool()>& condition)
{
    runtime::timer wakeup;
    wakeup.every(milliseconds{1}, [] {});
    const auto limit = boot_clock::now() + seconds{10};
    while (!condition() && boot_clock::now() < limit)
        g_main_context_iteration(nullptr, TRUE);
    EXPECT_TRUE(condition());
}

/// A hub that is linked to one peer, which the test controls.
class linked_hub : public testing::Test {
protected:
    linked_hub()
    {
        const auto listener = runtime::open_listener("127.0.0.1:0", 1);
        address_ = "127.0.0.1:" + std::to_string(runtime::local_port(listener->get()));
    }

    void TearDown() override
    {
        hub_.reset();
        const auto links = links_;
        for (const auto& link : links)
            link->close("end of the test");
    }

    void start()
    {
        hub_ = std::make_unique<link_hub>(greeting_of("hub", 1), address_, metrics_, 1);
        hub_->set_event_handlers(
            {[this](const std::string&, const std::string&, std::uint64_t) { ++linked_; },
             [this](const std::string&) { received_before_unlinked_ = received_; },
             [this](const std::string&, const wire::message&) { ++received_; },
             [] { return std::vector<wire::host_record>{}; }});
        ASSERT_TRUE(hub_->start({}));
    }

    /// Opens a connection of the peer to the hub.
    peer_link::link_ptr open_peer()
    {
        const auto address = runtime::parse_socket_address(address_);
        const socket_ptr socket{g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                             G_SOCKET_PROTOCOL_TCP, nullptr)};
        g_socket_connect(socket.get(), address->get(), nullptr, nullptr);
        // As on all links: each frame is sent at once.
        g_socket_set_option(socket.get(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
        peer_link::event_handlers handlers;
        handlers.ready = [](const peer_link::link_ptr&) {};
        handlers.received = [this](const peer_link::link_ptr&, const wire::message&) {
            ++peer_received_;
        };
        handlers.closed = [this](const peer_link::link_ptr&, const std::string&) {
            ++peer_closed_;
        };
        if (peer_awaits_reply_)
            handlers.awaits_reply = [](const peer_link::link_ptr&) { return true; };
        links_.push_back(peer_link::open(
            runtime::gobject_ptr<GSocketConnection>{
                g_socket_connection_factory_create_connection(socket.get())},
            wire::link_side::connecting, greeting_of("peer", 2), "chivewharf-platform-links",
            random_, handlers));
        return links_.back();
    }

    static void send_results(peer_link& link, int count)
    {
        for (int i = 0; i < count; ++i)
            link.send(wire::job_result{std::string(100, 'j'), 1, wire::job_end::completed, 0});
    }

    std::string address_;
    metrics::registry metrics_;
    rng random_{2};
    std::unique_ptr<link_hub> hub_;
    std::vector<peer_link::link_ptr> links_;
    int linked_ = 0;
    int received_ = 0;
    int received_before_unlinked_ = 0;
    bool peer_awaits_reply_ = false;
    int peer_received_ = 0;
    int peer_closed_ = 0;
};

// Guards against results that have arrived and are lost when the host drops the link, as it does
// after each pause of its process.
TEST_F(linked_hub, delivers_what_has_arrived_before_it_drops_a_link)
{
    start();
    const auto link = open_peer();
    run_until([this, &link] { return linked_ == 1 && link->ready(); });
    send_results(*link, 150);
    hub_->drop("peer");
    EXPECT_EQ(received_before_unlinked_, 150);
}

// Guards against a timer of the host that judges before what has arrived is read.
TEST_F(linked_hub, delivers_what_has_arrived_on_request)
{
    start();
    const auto link = open_peer();
    run_until([this, &link] { return linked_ == 1 && link->ready(); });
    send_results(*link, 3);
    hub_->deliver_unread();
    EXPECT_EQ(received_, 3);
}

// Guards against orders that get no reply because the host ends its links.
TEST_F(linked_hub, delivers_what_has_arrived_before_it_finishes)
{
    start();
    const auto link = open_peer();
    run_until([this, &link] { return linked_ == 1 && link->ready(); });
    send_results(*link, 3);
    hub_->finish();
    EXPECT_EQ(received_, 3);
    run_until([this] { return hub_->finished(); });
}

// The same when a newer link replaces the one that the results have arrived on.
TEST_F(linked_hub, delivers_what_has_arrived_on_a_link_that_is_replaced)
{
    start();
    const auto link = open_peer();
    run_until([this, &link] { return linked_ == 1 && link->ready(); });
    std::this_thread::sleep_for(milliseconds{1100}); // no longer a simultaneous dial
    open_peer();
    send_results(*link, 400);
    run_until([this] { return linked_ == 2; });
    EXPECT_EQ(received_before_unlinked_, 400);
}

// The same when the process was paused for longer than the time after which the peer counts as
// dead.
TEST_F(linked_hub, link_is_kept_if_the_reply_arrived_during_a_pause)
{
    peer_awaits_reply_ = true;
    start();
    const auto link = open_peer();
    run_until([this, &link] { return linked_ == 1 && link->ready(); });
    const auto checked_by = boot_clock::now() + milliseconds{600};
    run_until([checked_by] { return boot_clock::now() > checked_by; });
    hub_->send("peer", wire::job_result{});
    std::this_thread::sleep_for(milliseconds{1600});
    run_until([this] { return peer_received_ == 1 || peer_closed_ > 0; });
    EXPECT_EQ(peer_received_, 1);
    EXPECT_EQ(peer_closed_, 0);
}

} // namespace
} // namespace chivewharf::daemon
