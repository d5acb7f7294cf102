#include <dispatch/promise_audit.h>
#include <gtest/gtest.h>

namespace chivewharf::dispatch {
namespace {

// Guards against a broken promise that no counter shows: each fault must count exactly its promise.
TEST(promise_audit, counts_each_fault_under_its_promise)
{
    metrics::registry metrics;
    promise_audit audit{metrics};
    const auto count = [&metrics](int number) {
        return metrics.counter("chivewharf_promise_violations_total",
                               "promise=\"P" + std::to_string(number) + '"');
    };
    submission::answer reply;
    reply.result = submission::outcome::complete;
    reply.work = work_state::ran;
    reply.payloads = {"1", "2"};
    audit.settled(reply, 2, 0);
    audit.sent_again(true);
    audit.started_on(upstream::worker_state::usable);
    for (int promise = 1; promise <= 8; ++promise)
        EXPECT_EQ(count(promise), 0U) << promise;

    audit.settled(reply, 3, 0);
    EXPECT_EQ(count(2), 1U);
    submission::answer refused;
    refused.result = submission::outcome::failed;
    refused.work = work_state::not_run;
    audit.settled(refused, 1, 1);
    EXPECT_EQ(count(4), 1U);
    audit.sent_again(false);
    EXPECT_EQ(count(1), 1U);
    EXPECT_EQ(count(5), 1U);
    audit.started_on(upstream::worker_state::leaving);
    EXPECT_EQ(count(6), 1U);
}

} // namespace
} // namespace chivewharf::dispatch
