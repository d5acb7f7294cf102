#include "loop.h"
#include "raw_socket.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <runtime/http_server.h>
#include <runtime/socket_address.h>
#include <runtime/socket_state.h>
#include <sys/socket.h>
#include <thread>

namespace chivewharf::runtime::test {
namespace {

const std::string get = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

/// More than the buffers of a connection hold.
const std::string large_body(std::size_t{16} * 1024 * 1024, 'r');

std::string post(const std::string& body)
{
    return "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

/// Server that echoes the body of each request between `<` and `>`, or leaves the requests
/// unanswered in `open_` if `keep_open_` is set.
class http_server_test : public testing::Test {
protected:
    void start(const http_limits& limits, const tls_files& tls = {})
    {
        server_ = std::make_unique<http_server>(
            limits,
            [this](const std::shared_ptr<http_exchange>& exchange) {
                ++handled_;
                exchange->on_disconnect([this] { ++disconnects_; });
                if (keep_open_)
                    open_.push_back(exchange);
                else
                    exchange->respond(
                        {200, "<" + std::string{exchange->request().body} + ">", "text/plain", {}});
            },
            [](reason cause) {
                return http_response{503, std::string{to_name(cause)}, "text/plain", {}};
            },
            budget_);
        server_->on_connection_end([this](const connection_end& end) { ends_.push_back(end); });
        port_ = *server_->listen("127.0.0.1:0", tls);
    }

    /// Waits until the socket has received the text or its connection has ended.
    /// \return true if the text was received
    static bool receives(const raw_socket& socket, const std::string& text)
    {
        return run_until([&] {
                   return socket.received.find(text) != std::string::npos || socket.ended;
               }) &&
               socket.received.find(text) != std::string::npos;
    }

    /// Connects a caller that reads nothing.
    gobject_ptr<GSocket> connect_without_reading() const
    {
        const auto address = parse_socket_address("127.0.0.1:" + std::to_string(port_));
        gobject_ptr<GSocket> socket{g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                                 G_SOCKET_PROTOCOL_TCP, nullptr)};
        g_socket_connect(socket.get(), address->get(), nullptr, nullptr);
        return socket;
    }

    /// Sends a request on the socket and waits until a handler has it.
    void request_on(GSocket* socket)
    {
        const auto open = open_.size();
        g_socket_send(socket, get.data(), get.size(), nullptr, nullptr);
        ASSERT_TRUE(run_until([this, open] { return open_.size() == open + 1; }));
    }

    void expect_still_serving()
    {
        raw_socket probe{port_};
        run_until([this] { return server_->open_connections() > 0; });
        probe.send(post("probe"));
        EXPECT_TRUE(receives(probe, "<probe>")) << probe.received;
    }

    std::vector<connection_end> ends_; // the server reports to it when it is destroyed
    std::unique_ptr<http_server> server_;
    std::vector<std::shared_ptr<http_exchange>> open_;
    bool keep_open_ = false;
    std::size_t budget_ = 0;
    int handled_ = 0;
    int disconnects_ = 0;
    std::uint16_t port_ = 0;
};

// Guards against libsoup closing each connection after one request, which it does if it has no
// listener.
TEST_F(http_server_test, keeps_a_connection_open_between_requests)
{
    start({});
    raw_socket caller{port_};
    for (int i = 0; i < 5; ++i) {
        caller.send(post(std::to_string(i)));
        ASSERT_TRUE(receives(caller, '<' + std::to_string(i) + '>'));
    }
    EXPECT_EQ(server_->open_connections(), 1U);
    EXPECT_FALSE(caller.ended);
    caller.close();
    EXPECT_TRUE(run_until([this] { return server_->open_connections() == 0; }));
    EXPECT_EQ(disconnects_, 0);
}

// Guards against buffering request bodies that exceed the limit.
TEST_F(http_server_test, refuses_a_body_that_is_too_large)
{
    http_limits limits;
    limits.max_body_bytes = 100;
    start(limits);
    for (const std::string& body :
         {"Content-Length: 101\r\n\r\n" + std::string(101, 'x'),
          "Transfer-Encoding: chunked\r\n\r\n60\r\n" + std::string(0x60, 'x') + "\r\n60\r\n" +
              std::string(0x60, 'x') + "\r\n0\r\n\r\n"}) {
        raw_socket caller{port_};
        caller.send("POST /x HTTP/1.1\r\nHost: h\r\n" + body);
        EXPECT_TRUE(receives(caller, "body_too_large")) << caller.received;
        EXPECT_TRUE(run_until([&caller] { return caller.ended; }));
    }
    EXPECT_EQ(handled_, 0);
    raw_socket caller{port_};
    caller.send(post(std::string(100, 'y')));
    EXPECT_TRUE(receives(caller, '<' + std::string(100, 'y') + '>'));
}

// Guards against truncated bodies: a body of 1 MiB is received and sent in several parts.
TEST_F(http_server_test, carries_a_body_of_a_mebibyte)
{
    start({});
    raw_socket caller{port_};
    const std::string body(1U << 20U, 'b');
    caller.send(post(body));
    EXPECT_TRUE(receives(caller, '<' + body + '>'));
}

// Guards against running out of file descriptors.
TEST_F(http_server_test, refuses_connections_over_the_limit)
{
    http_limits limits;
    limits.max_connections = 2;
    start(limits);
    raw_socket first{port_};
    auto second = std::make_unique<raw_socket>(port_);
    ASSERT_TRUE(run_until([this] { return server_->open_connections() == 2; }));
    raw_socket third{port_};
    EXPECT_TRUE(receives(third, "too_many_connections"));
    EXPECT_TRUE(run_until([&third] { return third.ended; }));
    first.send(post("first"));
    EXPECT_TRUE(receives(first, "<first>"));
    second.reset();
    ASSERT_TRUE(run_until([this] { return server_->open_connections() == 1; }));
    expect_still_serving();
}

// Guards against callers that occupy a connection with a request that never completes.
TEST_F(http_server_test, closes_half_sent_requests_but_not_idle_connections)
{
    http_limits limits;
    limits.request_timeout = milliseconds{1};
    start(limits);
    raw_socket unused{port_};
    raw_socket idle{port_};
    idle.send(post("1"));
    ASSERT_TRUE(receives(idle, "<1>"));
    keep_open_ = true;
    raw_socket waiting{port_};
    waiting.send(post("waits"));
    ASSERT_TRUE(run_until([this] { return open_.size() == 1; }));
    for (const std::string& half :
         {std::string{"G"}, std::string{"POST /x HTTP/1.1\r\nHost"},
          std::string{"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf"}}) {
        raw_socket slow{port_};
        slow.send(half);
        EXPECT_TRUE(receives(slow, "header_timeout")) << slow.received;
        EXPECT_TRUE(run_until([&slow] { return slow.ended; }));
    }
    EXPECT_FALSE(unused.ended || idle.ended || waiting.ended);
    open_.front()->respond({200, "late", "text/plain", {}});
    EXPECT_TRUE(receives(waiting, "late"));
    keep_open_ = false;
    idle.send(post("2"));
    EXPECT_TRUE(receives(idle, "<2>"));
    idle.send("POST /x HT");
    EXPECT_TRUE(run_until([&idle] { return idle.ended; })) << "half of a later request";
}

// Guards against callers that hold a connection without using it, or that never read a response.
TEST_F(http_server_test, closes_unused_connections)
{
    http_limits limits;
    limits.idle_timeout = milliseconds{1};
    start(limits);
    raw_socket unused{port_};
    EXPECT_TRUE(run_until([&unused] { return unused.ended; }));
    EXPECT_EQ(unused.received, "");
    keep_open_ = true;
    raw_socket waiting{port_};
    waiting.send(get);
    ASSERT_TRUE(run_until([this] { return open_.size() == 1; }));
    raw_socket later{port_};
    EXPECT_TRUE(run_until([&later] { return later.ended; }));
    EXPECT_FALSE(waiting.ended) << "a caller that waits for its response does not count as idle";
}

// Guards against connections that end without a report of the cause and of the request.
TEST_F(http_server_test, reports_the_connections_that_it_ends)
{
    http_limits limits;
    limits.request_timeout = milliseconds{1};
    start(limits);
    raw_socket half{port_};
    half.send("POST /x HT");
    ASSERT_TRUE(run_until([&half] { return half.ended; }));
    raw_socket idle{port_};
    idle.send(get);
    ASSERT_TRUE(receives(idle, "<>"));
    keep_open_ = true;
    raw_socket waiting{port_};
    waiting.send(get);
    ASSERT_TRUE(run_until([this] { return open_.size() == 1; }));
    ASSERT_TRUE(run_until([this] { return server_->busy_connections() == 1; }));
    server_->close_idle();
    ASSERT_TRUE(run_until([&idle] { return idle.ended; }));
    server_.reset();
    ASSERT_EQ(ends_.size(), 3U);
    EXPECT_EQ(ends_[0].cause, end_cause::refusal);
    EXPECT_EQ(ends_[0].limit, reason::header_timeout);
    EXPECT_EQ(ends_[0].stage, request_stage::partial);
    EXPECT_EQ(ends_[1].cause, end_cause::stop);
    EXPECT_EQ(ends_[1].stage, request_stage::none);
    EXPECT_EQ(ends_[2].cause, end_cause::exit);
    EXPECT_EQ(ends_[2].stage, request_stage::in_work);
}

// Guards against a connection that is closed as idle because each sweep finds it between requests.
TEST_F(http_server_test, keeps_a_connection_that_is_used_between_two_sweeps)
{
    http_limits limits;
    limits.idle_timeout = milliseconds{700};
    start(limits);
    raw_socket caller{port_};
    for (int i = 0; i < 50; ++i) {
        const auto body = std::to_string(i);
        caller.send(post(body));
        ASSERT_TRUE(receives(caller, '<' + body + '>')) << "request " << i;
        run_until([] { return false; }, milliseconds{50});
    }
}

// Guards against a response that is cut because its connection was unused before the request.
TEST_F(http_server_test, lets_a_caller_read_a_response_after_a_rest)
{
    http_limits limits;
    limits.idle_timeout = milliseconds{1200};
    start(limits);
    keep_open_ = true;
    auto socket = connect_without_reading();
    request_on(socket.get());
    open_[0]->respond({200, "first", "text/plain", {}});
    run_until([] { return false; }, milliseconds{1100});
    request_on(socket.get());
    open_[1]->respond({200, large_body + "end", "text/plain", {}});
    run_until([] { return false; }, milliseconds{800});
    raw_socket reader{std::move(socket)};
    EXPECT_TRUE(receives(reader, "end")) << reader.received.size();
}

// Guards against a caller that holds a response forever because it does not read it.
TEST_F(http_server_test, ends_a_connection_whose_response_is_not_read)
{
    http_limits limits;
    limits.idle_timeout = milliseconds{100};
    start(limits);
    keep_open_ = true;
    const auto socket = connect_without_reading();
    request_on(socket.get());
    open_[0]->respond({200, large_body, "text/plain", {}});
    open_.clear();
    EXPECT_TRUE(run_until([this] { return server_->open_connections() == 0; }));
}

// Guards against a change of the limits that closes many connections in one moment.
TEST_F(http_server_test, applies_a_shorter_idle_timeout_from_the_next_response_on)
{
    http_limits limits;
    limits.idle_timeout = seconds{60};
    start(limits);
    raw_socket caller{port_};
    caller.send(post("1"));
    ASSERT_TRUE(receives(caller, "<1>"));
    limits.idle_timeout = milliseconds{1};
    server_->set_limits(limits);
    raw_socket later{port_};
    ASSERT_TRUE(run_until([&later] { return later.ended; })) << "accepted under the new limits";
    EXPECT_FALSE(caller.ended);
    caller.send(post("2"));
    EXPECT_TRUE(receives(caller, "<2>"));
    EXPECT_TRUE(run_until([&caller] { return caller.ended; }));
}

// Guards against a request that is read and dropped because its connection was taken for idle while
// it was still in the socket.
TEST_F(http_server_test, answers_a_request_that_waits_in_the_socket_at_a_stop)
{
    start({});
    raw_socket caller{port_};
    caller.send(post("1"));
    ASSERT_TRUE(receives(caller, "<1>"));
    ASSERT_TRUE(run_until([this] { return server_->busy_connections() == 0; }));
    caller.send(post("2"));
    server_->close_idle();
    EXPECT_TRUE(receives(caller, "<2>")) << caller.received;
}

// Guards against a connection that is closed between its acceptance and the arrival of its first
// request.
TEST_F(http_server_test, keeps_a_new_connection_open_at_a_stop)
{
    start({});
    raw_socket caller{port_};
    ASSERT_TRUE(run_until([this] { return server_->open_connections() == 1; }));
    EXPECT_EQ(server_->busy_connections(), 1U);
    server_->close_idle();
    caller.send(post("1"));
    EXPECT_TRUE(receives(caller, "<1>")) << caller.received;
    ASSERT_TRUE(run_until([this] { return server_->busy_connections() == 0; }));
    server_->close_idle();
    EXPECT_TRUE(run_until([&caller] { return caller.ended; }));
}

// Guards against requests that arrive while the process ends, and against a loop that spins on the
// closed listener.
TEST_F(http_server_test, refuses_connections_after_it_has_stopped_listening)
{
    start({});
    raw_socket first{port_};
    server_->stop_listening();
    first.send(post("1"));
    EXPECT_TRUE(receives(first, "<1>")) << first.received;
    raw_socket second{port_};
    EXPECT_TRUE(run_until([&second] { return second.ended; }));
    EXPECT_EQ(server_->open_connections(), 1U);
    int iterations = 0;
    run_until([&iterations] { return ++iterations > 100; }, milliseconds{300});
    EXPECT_LT(iterations, 50);
}

// The same for the idle timeout, after a time in which the process did not run.
TEST_F(http_server_test, answers_a_request_that_waits_in_the_socket_after_the_idle_timeout)
{
    http_limits limits;
    limits.idle_timeout = milliseconds{600};
    start(limits);
    std::vector<std::unique_ptr<raw_socket>> callers;
    for (int i = 0; i < 20; ++i) {
        callers.push_back(std::make_unique<raw_socket>(port_));
        callers.back()->send(post("1"));
    }
    for (const auto& caller : callers)
        ASSERT_TRUE(receives(*caller, "<1>"));
    std::this_thread::sleep_for(milliseconds{1300});
    for (const auto& caller : callers)
        caller->send(post("2"));
    for (const auto& caller : callers)
        EXPECT_TRUE(receives(*caller, "<2>")) << caller->received;
}

// Guards against a request that is refused as too slow although its rest arrived while the process
// did not run.
TEST_F(http_server_test, reads_the_rest_of_a_request_after_a_pause)
{
    http_limits limits;
    limits.request_timeout = milliseconds{400};
    start(limits);
    std::vector<std::unique_ptr<raw_socket>> callers;
    for (int i = 0; i < 20; ++i) {
        callers.push_back(std::make_unique<raw_socket>(port_));
        callers.back()->send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n1");
    }
    ASSERT_TRUE(run_until([this] { return server_->busy_connections() == 20; }));
    run_until([] { return false; }, milliseconds{50});
    for (const auto& caller : callers)
        caller->send("2");
    std::this_thread::sleep_for(milliseconds{2000});
    for (const auto& caller : callers)
        EXPECT_TRUE(receives(*caller, "<12>")) << caller->received;
}

// Guards against a request that is dropped because it has begun behind another one and is only in
// the read buffer.
TEST_F(http_server_test, answers_a_request_that_began_behind_another_at_a_stop)
{
    start({});
    raw_socket caller{port_};
    const auto second = post("2");
    caller.send(post("1") + second.substr(0, 10));
    ASSERT_TRUE(receives(caller, "<1>"));
    server_->close_idle();
    caller.send(second.substr(10));
    EXPECT_TRUE(receives(caller, "<2>")) << caller.received;
}

// Guards against a process that ends with requests on connections that nobody counts: libsoup's
// listener accepts them if this server does not.
TEST_F(http_server_test, counts_connections_that_arrive_during_a_stop)
{
    start({});
    server_->close_idle();
    keep_open_ = true;
    raw_socket caller{port_};
    caller.send(get);
    run_until([&] { return open_.size() == 1 || caller.ended; });
    EXPECT_EQ(server_->busy_connections(), open_.size());
    EXPECT_EQ(server_->open_connections(), open_.size());
}

// Guards against a process that counts itself as idle while a request is half read.
TEST_F(http_server_test, counts_a_half_read_request_as_busy)
{
    start({});
    raw_socket caller{port_};
    caller.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n1");
    EXPECT_TRUE(run_until([this] { return server_->busy_connections() == 1; }));
    caller.send("2");
    EXPECT_TRUE(receives(caller, "<12>"));
    EXPECT_TRUE(run_until([this] { return server_->busy_connections() == 0; }));
}

// Guards against heads that are refused only after libsoup has stored them.
TEST_F(http_server_test, refuses_a_head_that_is_too_large)
{
    http_limits limits;
    limits.head.max_head_bytes = 1000;
    start(limits);
    raw_socket endless{port_};
    endless.send("GET /" + std::string(1000, 'a'));
    EXPECT_TRUE(receives(endless, "header_too_large")) << endless.received;
    EXPECT_TRUE(run_until([&endless] { return endless.ended; }));
    raw_socket smuggled{port_};
    smuggled.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n");
    EXPECT_TRUE(receives(smuggled, "ambiguous_length")) << smuggled.received;
    EXPECT_EQ(handled_, 0);
    expect_still_serving();
}

// Guards against running out of memory by many incomplete requests. The largest are refused, a
// small one and one that is being handled are not, and the memory is available again afterwards.
TEST_F(http_server_test, refuses_large_requests_when_the_budget_is_used_up)
{
    budget_ = std::size_t{600} * 1024;
    start({});
    keep_open_ = true;
    raw_socket waiting{port_};
    waiting.send(get);
    ASSERT_TRUE(run_until([this] { return open_.size() == 1; }));
    std::string head = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n";
    for (int i = 0; i < 3000; ++i)
        head += "a:\r\n";
    std::vector<std::unique_ptr<raw_socket>> crowd;
    const auto ended = [&crowd] {
        return std::count_if(crowd.begin(), crowd.end(),
                             [](const auto& one) { return one->ended; });
    };
    for (int i = 0; i < 10; ++i) {
        crowd.push_back(std::make_unique<raw_socket>(port_));
        crowd.back()->send(head + "\r\nhalf");
    }
    EXPECT_TRUE(run_until([&ended] { return ended() == 9; })) << ended();
    EXPECT_FALSE(waiting.ended);
    open_.front()->respond({200, "late", "text/plain", {}});
    EXPECT_TRUE(receives(waiting, "late"));
    keep_open_ = false;
    raw_socket small{port_};
    small.send(post("small"));
    EXPECT_TRUE(receives(small, "<small>"));
    crowd.clear();
    ASSERT_TRUE(run_until([this] { return server_->open_connections() <= 2; }));
    raw_socket single{port_};
    single.send(head + "\r\nnine byte");
    EXPECT_TRUE(receives(single, "<nine byte>"));
}

// Guards against idle connections that are closed in place of the requests that hold the memory: a
// caller's next request may be on its way or in the socket.
TEST_F(http_server_test, keeps_idle_connections_when_the_budget_is_used_up)
{
    budget_ = std::size_t{200} * 1024;
    start({});
    keep_open_ = true;
    raw_socket large{port_};
    large.send(post(std::string(std::size_t{45} * 1024, 'x')));
    ASSERT_TRUE(run_until([this] { return open_.size() == 1; }));
    std::vector<std::unique_ptr<raw_socket>> idle(15);
    for (auto& one : idle)
        one = std::make_unique<raw_socket>(port_);
    ASSERT_TRUE(run_until([this] { return server_->open_connections() == 16; }));
    keep_open_ = false;
    raw_socket small{port_};
    small.send(post("small"));
    ASSERT_TRUE(run_until([&small] { return small.ended; }));
    EXPECT_NE(small.received.find("request_memory"), std::string::npos) << small.received;
    EXPECT_EQ(ends_.size(), 1U) << "connections that were ended";
    open_.front()->respond({200, "late", "text/plain", {}});
    ASSERT_TRUE(receives(large, "late"));
    for (const auto& one : idle) {
        one->send(post("1"));
        EXPECT_TRUE(receives(*one, "<1>")) << one->received;
    }
}

// Guards against malformed requests that reach the handler.
TEST_F(http_server_test, refuses_malformed_requests)
{
    start({});
    const std::string bad[] = {"\r\n\r\n\r\n",
                               "nonsense\r\n\r\n",
                               "GET\r\n\r\n",
                               "GET /x HTTP/9.9.9\r\n\r\n",
                               "GET /x HTTP/1.1\r\n\r\n",
                               std::string("\0\1\2\xff\r\n\r\n", 8),
                               "GET " + std::string(200000, 'a')};
    for (const auto& text : bad) {
        raw_socket caller{port_};
        caller.send(text);
        caller.send("\r\n\r\n");
        EXPECT_TRUE(run_until([&caller] {
            return caller.ended || caller.received.starts_with("HTTP/1.1 4");
        })) << text.substr(0, 40);
    }
    EXPECT_EQ(handled_, 0);
    expect_still_serving();
}

// Guards against exchanges that stay open after their caller has disconnected.
TEST_F(http_server_test, reports_a_caller_that_disconnects_while_it_waits)
{
    start({});
    keep_open_ = true;
    for (const bool with_reset : {false, true}) {
        open_.clear();
        disconnects_ = 0;
        raw_socket caller{port_};
        caller.send(get);
        ASSERT_TRUE(run_until([this] { return open_.size() == 1; }));
        caller.close(with_reset);
        EXPECT_TRUE(run_until([this] { return disconnects_ == 1; }));
        open_.front()->respond({});
        // The connection stays counted as long as the handler holds its exchange.
        open_.clear();
        EXPECT_TRUE(run_until([this] { return server_->open_connections() == 0; }));
        EXPECT_EQ(disconnects_, 1);
    }
    keep_open_ = false;
    expect_still_serving();
}

// Guards against a request that goes on for a caller who has left, because the end of its
// connection waits unread: after a pause of the process, other events may come first. Neither bytes
// behind the request hide the end, nor does the check end a request whose caller waits.
TEST_F(http_server_test, ends_requests_whose_callers_have_left_before_the_loop_reads_it)
{
    keep_open_ = true;
    start({});
    const auto resets = connect_without_reading();
    const auto closes = connect_without_reading();
    const auto waits = connect_without_reading();
    for (auto* socket : {resets.get(), closes.get(), waits.get()})
        request_on(socket);
    EXPECT_EQ(server_->end_disconnected(), 0U);
    const linger reset_at_close{1, 0};
    setsockopt(g_socket_get_fd(resets.get()), SOL_SOCKET, SO_LINGER, &reset_at_close,
               sizeof reset_at_close);
    g_socket_send(closes.get(), get.data(), get.size(), nullptr, nullptr);
    g_socket_close(resets.get(), nullptr);
    g_socket_close(closes.get(), nullptr);
    // The loop does not run meanwhile.
    std::size_t ended = 0;
    for (int i = 0; i < 200 && ended < 2; ++i) {
        ended += server_->end_disconnected();
        std::this_thread::sleep_for(milliseconds{10});
    }
    EXPECT_EQ(ended, 2U);
    EXPECT_EQ(disconnects_, 2);
    EXPECT_EQ(server_->end_disconnected(), 0U);
    open_.back()->respond({200, "answer", "text/plain", {}});
    EXPECT_TRUE(run_until([&] { return unread_bytes(waits.get()) > 0; }));
    EXPECT_EQ(disconnects_, 2);
}

// Guards against access to a server that was destroyed while requests were open.
TEST_F(http_server_test, is_destroyed_with_open_requests)
{
    start({});
    keep_open_ = true;
    raw_socket caller{port_};
    caller.send(get);
    ASSERT_TRUE(run_until([this] { return open_.size() == 1; }));
    server_.reset();
    EXPECT_TRUE(run_until([&caller] { return caller.ended; }));
    open_.front()->respond({});
}

// Guards against a server that reports success although its address is in use or its certificate
// cannot be read.
TEST_F(http_server_test, reports_an_address_or_a_certificate_that_does_not_work)
{
    start({});
    http_server other{{}, {}, {}};
    const auto in_use = other.listen("127.0.0.1:" + std::to_string(port_));
    ASSERT_FALSE(in_use);
    EXPECT_EQ(in_use.error().code, runtime_errc::bind_failed);
    const auto tls = other.listen("127.0.0.1:0", {"/nowhere/cert.pem", "/nowhere/key.pem"});
    ASSERT_FALSE(tls);
    EXPECT_EQ(tls.error().code, runtime_errc::tls_setup_failed);
}

// Guards against requests that fail over TLS, and against a TLS connection that is closed after
// each request. cert.pem was created with `openssl req -x509` for 127.0.0.1, valid for 100 years.
TEST_F(http_server_test, serves_over_tls)
{
    const std::string folder = CHIVEWHARF_TEST_DATA;
    start({}, {folder + "/cert.pem", folder + "/key.pem"});
    const gobject_ptr<SoupSession> session{soup_session_new()};
    for (int i = 0; i < 2; ++i) {
        const auto url = "https://127.0.0.1:" + std::to_string(port_) + "/x";
        const gobject_ptr<SoupMessage> message{soup_message_new("POST", url.c_str())};
        // libsoup closes the connection after a POST without this flag.
        soup_message_add_flags(message.get(), SOUP_MESSAGE_IDEMPOTENT);
        g_signal_connect(message.get(), "accept-certificate",
                         G_CALLBACK(+[](SoupMessage*, GTlsCertificate*, GTlsCertificateFlags,
                                        gpointer) -> gboolean { return TRUE; }),
                         nullptr);
        const gbytes_ptr body{g_bytes_new_static("secret", 6)};
        soup_message_set_request_body_from_bytes(message.get(), "text/plain", body.get());
        std::string answer;
        bool done = false;
        struct response_sink {
            std::string& answer;
            bool& done;
        } target{answer, done};
        soup_session_send_and_read_async(
            session.get(), message.get(), G_PRIORITY_DEFAULT, nullptr,
            [](GObject* source, GAsyncResult* result, gpointer data) {
                auto* sink = static_cast<response_sink*>(data);
                GError* error = nullptr;
                const gbytes_ptr bytes{
                    soup_session_send_and_read_finish(SOUP_SESSION(source), result, &error)};
                if (bytes)
                    sink->answer.assign(
                        static_cast<const char*>(g_bytes_get_data(bytes.get(), nullptr)),
                        g_bytes_get_size(bytes.get()));
                else
                    sink->answer = gerror_ptr
                    {
                        error
                        } -> message;
                sink->done = true;
            },
            &target);
        ASSERT_TRUE(run_until([&done] { return done; }));
        EXPECT_EQ(answer, "<secret>");
    }
    EXPECT_EQ(server_->open_connections(), 1U);
}

} // namespace
} // namespace chivewharf::runtime::test
