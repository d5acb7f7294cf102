#include "loop.h"
#include "raw_socket.h"

#include <gtest/gtest.h>
#include <optional>
#include <runtime/http_client.h>
#include <runtime/http_client_call.h>
#include <runtime/socket_address.h>
#include <thread>

namespace chivewharf::runtime::test {
namespace {

const std::string good_answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Sends one call and returns its result.
call_result call(http_client& client, const std::string& url,
                 http_client::before_send_function before_send = {}, duration timeout = seconds{60},
                 std::size_t max_bytes = 1U << 20U)
{
    std::optional<call_result> result;
    http_call request;
    request.url = url;
    request.body = "{}";
    request.timeout = timeout;
    request.max_response_bytes = max_bytes;
    client.send(
        std::move(request), [&result](call_result r) { result = std::move(r); },
        std::move(before_send));
    EXPECT_TRUE(run_until([&result] { return result.has_value(); }));
    return result ? std::move(*result) : call_result{};
}

/// A fault of the server while it responds.
struct broken_answer {
    const char* name;
    std::size_t good_requests; ///< requests answered on the connection before the fault
    std::string sent;          ///< part of the response that is sent before the connection ends
    bool with_reset;           ///< the connection ends with RST instead of FIN
    call_outcome expected;
};

class broken_answers : public testing::TestWithParam<broken_answer> {};

// Guards against duplicate delivery: libsoup retries a request automatically when the connection
// ends before the response.
TEST_P(broken_answers, are_never_requested_again)
{
    const auto& fault = GetParam();
    raw_server server{[&](raw_socket& connection) {
        if (connection.requests() == 0)
            return;
        if (connection.requests() <= fault.good_requests) {
            connection.send(good_answer);
            return;
        }
        connection.send(fault.sent);
        connection.close(fault.with_reset);
    }};
    http_client client{{}};
    for (std::size_t i = 0; i < fault.good_requests; ++i)
        ASSERT_EQ(call(client, server.url()).outcome, call_outcome::answered);
    const auto result = call(client, server.url());
    EXPECT_EQ(to_name(result.outcome), to_name(fault.expected)) << result.message;
    // The count after one more call shows that the failed request was not sent again.
    call(client, server.url());
    EXPECT_EQ(server.requests(), fault.good_requests + 2);
    EXPECT_EQ(server.connections.size(), 2U) << "the connection was not reused";
}

std::vector<broken_answer> broken_answer_table()
{
    const std::string half = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf";
    const std::string chunk = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n";
    std::vector<broken_answer> table;
    for (const std::size_t good : {0U, 1U, 3U}) {
        table.push_back({"fin_before_answer", good, "", false, call_outcome::lost});
        table.push_back({"rst_before_answer", good, "", true, call_outcome::lost});
        table.push_back({"fin_in_status_line", good, "HTTP/1.1 2", false, call_outcome::lost});
        table.push_back({"fin_in_body", good, half, false, call_outcome::truncated});
        table.push_back({"fin_in_chunks", good, chunk, false, call_outcome::truncated});
        table.push_back({"fin_without_length", good, "HTTP/1.1 200 OK\r\n\r\n{}", false,
                         call_outcome::truncated});
    }
    return table;
}

INSTANTIATE_TEST_SUITE_P(http_client, broken_answers, testing::ValuesIn(broken_answer_table()),
                         [](const auto& test_case) {
                             return std::string{test_case.param.name} + "_after_" +
                                    std::to_string(test_case.param.good_requests);
                         });

// Guards against reporting `not_sent` for a request that may have been sent, which allows a
// duplicate execution, and against reporting an unsent request as possibly sent.
TEST(http_client, reports_not_sent_only_when_no_byte_was_sent)
{
    http_client client{{}};
    std::string refused;
    {
        const raw_server closed{{}};
        refused = closed.url();
    }
    EXPECT_EQ(call(client, refused).outcome, call_outcome::not_sent);
    EXPECT_EQ(call(client, "not a url").outcome, call_outcome::not_sent);

    raw_server server{[](raw_socket& connection) { connection.send(good_answer); }};
    const auto refuse = [] { return false; };
    EXPECT_EQ(call(client, server.url(), refuse).outcome, call_outcome::withheld);
    EXPECT_EQ(server.bytes(), 0U);
    EXPECT_EQ(call(client, server.url()).outcome, call_outcome::answered);
    const auto before = server.bytes();
    EXPECT_EQ(call(client, server.url(), refuse).outcome, call_outcome::withheld);
    EXPECT_EQ(call(client, server.url()).outcome, call_outcome::answered);
    EXPECT_EQ(server.requests(), 2U);
    EXPECT_EQ(server.bytes(), 2 * before);
}

// Guards against an unbounded number of connections when all workers hang.
TEST(http_client, limits_calls_in_progress)
{
    raw_server server{{}};
    http_client_limits limits;
    limits.max_connections = 1;
    http_client client{limits};
    bool ended = false;
    http_call hanging;
    hanging.url = server.url();
    hanging.timeout = seconds{60};
    const auto first = client.send(hanging, [&ended](const call_result& result) {
        ended = true;
        EXPECT_EQ(result.outcome, call_outcome::cancelled);
    });
    ASSERT_TRUE(run_until([&server] { return server.requests() == 1; }));
    EXPECT_EQ(call(client, server.url()).outcome, call_outcome::not_sent);
    first->cancel();
    EXPECT_TRUE(run_until([&ended] { return ended; }));
    EXPECT_TRUE(run_until([&server] { return server.connections.front()->ended; }));
}

// Guards against unbounded memory use by an endless response and against waiting for a server that
// stops responding.
TEST(http_client, ends_answers_that_are_too_large_or_too_late)
{
    http_client client{{}};
    for (const std::string& head :
         {"Content-Length: 5000\r\n\r\n" + std::string(5000, 'x'),
          "Transfer-Encoding: chunked\r\n\r\n1388\r\n" + std::string(5000, 'x') + "\r\n"}) {
        raw_server server{
            [&head](raw_socket& connection) { connection.send("HTTP/1.1 200 OK\r\n" + head); }};
        EXPECT_EQ(call(client, server.url(), {}, seconds{60}, 4999).outcome,
                  call_outcome::too_large);
        EXPECT_TRUE(run_until([&server] { return server.connections.front()->ended; }));
    }
    for (const std::string part : {"", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"}) {
        raw_server server{[&part](raw_socket& connection) { connection.send(part); }};
        EXPECT_EQ(call(client, server.url(), {}, milliseconds{100}).outcome,
                  call_outcome::timed_out);
        EXPECT_TRUE(run_until([&server] { return server.connections.front()->ended; }));
        EXPECT_EQ(server.requests(), 1U);
    }
}

// Guards against a reply that has arrived and is dropped, because the process did not run until
// after the deadline.
TEST(http_client, takes_a_reply_that_arrived_before_the_deadline)
{
    for (const std::size_t size : {2U, 60000U}) {
        raw_server server{{}};
        http_client client{{}};
        std::optional<call_result> result;
        http_call request;
        request.url = server.url();
        request.timeout = milliseconds{100};
        client.send(request, [&result](call_result r) { result = std::move(r); });
        ASSERT_TRUE(run_until([&server] { return server.requests() == 1; }));
        server.connections.front()->send(
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n" +
            std::string(size, 'x'));
        std::this_thread::sleep_for(milliseconds{150});
        ASSERT_TRUE(run_until([&result] { return result.has_value(); }));
        EXPECT_EQ(to_name(result->outcome), to_name(call_outcome::answered)) << size;
        EXPECT_EQ(result->body.size(), size);
    }
}

// Guards against a `done` callback into an owner that has been destroyed.
TEST(http_client, an_abandoned_call_does_not_report)
{
    raw_server server{{}};
    http_client client{{}};
    bool reported = false;
    http_call request;
    request.url = server.url();
    const auto started = client.send(request, [&reported](const call_result&) { reported = true; });
    ASSERT_TRUE(run_until([&server] { return server.requests() == 1; }));
    started->abandon();
    EXPECT_TRUE(run_until([&server] { return server.connections.front()->ended; }));
    EXPECT_FALSE(reported);
}

} // namespace
} // namespace chivewharf::runtime::test
