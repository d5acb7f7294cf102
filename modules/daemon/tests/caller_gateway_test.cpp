#include <daemon/caller_gateway.h>
#include <gtest/gtest.h>
#include <runtime/tests/loop.h>
#include <runtime/tests/raw_socket.h>

namespace chivewharf::daemon {
namespace {

using runtime::test::raw_socket;
using runtime::test::run_until;

struct caller_gateway_test : testing::Test {
    caller_gateway_test() { EXPECT_TRUE(gateway.start({})); }
    ~caller_gateway_test() override { gateway.stop(); }

    metrics::registry metrics;
    dispatch::entry_host core{{"d", "a", 1},
                              "127.0.0.1:1",
                              std::make_shared<const settings::cluster_settings>(),
                              metrics,
                              1,
                              boot_clock::now()};
    core_loop loop{core};
    caller_gateway gateway{loop, metrics, "127.0.0.1:0", {}};
};

constexpr const char* probe = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n";

// Guards against a caller who keeps a connection to a stopping host, and whose next request is cut
// when the process ends.
TEST_F(caller_gateway_test, stop_closes_a_connection_with_its_next_response)
{
    raw_socket caller{gateway.port()};
    caller.send(probe);
    ASSERT_TRUE(run_until([&] { return caller.received.find("ok\n") != std::string::npos; }));
    EXPECT_FALSE(caller.ended);
    gateway.begin_closing();
    caller.received.clear();
    caller.send(probe);
    ASSERT_TRUE(run_until([&] { return caller.ended; }));
    EXPECT_NE(caller.received.find("Connection: close"), std::string::npos) << caller.received;
    EXPECT_NE(caller.received.find("ok\n"), std::string::npos) << caller.received;
}

// Guards against an unused connection that stays open until the process ends, so that its caller
// sends a request that is never read.
TEST_F(caller_gateway_test, stop_closes_unused_connections)
{
    raw_socket caller{gateway.port()};
    caller.send(probe);
    ASSERT_TRUE(run_until([&] {
        return caller.received.find("ok\n") != std::string::npos &&
               gateway.pending_responses() == 0;
    }));
    gateway.begin_closing();
    gateway.close_idle();
    EXPECT_TRUE(run_until([&] { return caller.ended; }));
}

} // namespace
} // namespace chivewharf::daemon
