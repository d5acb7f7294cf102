#include "processes.h"

#include <gtest/gtest.h>
#include <operator_cli/program.h>
#include <runtime/http_server.h>
#include <sstream>

namespace chivewharf::operator_cli::test {
namespace {

using exchange_ptr = std::shared_ptr<runtime::http_exchange>;

constexpr const char* empty_log = R"({"first": 0, "next": 0, "records": []})";

/// In-process platform for faults that the stand-in cannot simulate.
class faulty_platform {
public:
    explicit faulty_platform(std::function<void(const exchange_ptr&)> handle)
        : server_{{}, std::move(handle), [](reason) { return runtime::http_response{}; }},
          address_{"127.0.0.1:" + std::to_string(server_.listen("127.0.0.1:0").value())}
    {
        const auto base = read_file(CHIVEWHARF_TEST_DATA "/data/base.json");
        const std::string worker = "{worker}";
        const std::string platform = "{platform}";
        auto text = base;
        text.replace(text.find(worker), worker.size(), "127.0.0.1:9");
        text.replace(text.find(platform), platform.size(), address_);
        base_ = folder_.write("base.json", text);
    }

    int publish(std::string& output) const
    {
        std::ostringstream out;
        const int code = run_program(
            {"publish", "--expect", "0", base_, "--author", "ann", "--timeout", "1"}, out, out);
        output = out.str();
        return code;
    }

private:
    runtime::http_server server_;
    std::string address_;
    temporary_directory folder_;
    std::string base_;
};

// Guards against a publisher that reports a record as absent although its append was sent and may
// still arrive.
TEST(undecided_publication, says_that_a_sent_record_may_be_in_the_log)
{
    std::vector<exchange_ptr> unanswered;
    bool appended = false;
    const faulty_platform platform{[&](const exchange_ptr& exchange) {
        appended = appended || exchange->request().method == "POST";
        if (appended)
            unanswered.push_back(exchange);
        else
            exchange->respond({200, empty_log, "application/json", {}});
    }};
    std::string output;
    EXPECT_EQ(platform.publish(output), 5);
    EXPECT_NE(output.find("may be in the log"), std::string::npos) << output;
}

// Guards against a publisher that retries past its deadline while the platform refuses its appends.
TEST(undecided_publication, ends_when_every_append_is_refused)
{
    int appends = 0;
    const faulty_platform platform{[&](const exchange_ptr& exchange) {
        const bool append = exchange->request().method == "POST";
        appends += append ? 1 : 0;
        exchange->respond({append ? 429U : 200U, empty_log, "application/json", {}});
    }};
    std::string output;
    EXPECT_EQ(platform.publish(output), 5);
    EXPECT_GT(appends, 1) << output;
}

// Guards against a read that never ends because the log announces records that it does not send.
TEST(undecided_publication, ends_when_the_log_announces_records_that_it_does_not_send)
{
    const faulty_platform platform{[](const exchange_ptr& exchange) {
        exchange->respond(
            {200, R"({"first": 0, "next": 5, "records": []})", "application/json", {}});
    }};
    std::string output;
    EXPECT_EQ(platform.publish(output), 5);
}

} // namespace
} // namespace chivewharf::operator_cli::test
