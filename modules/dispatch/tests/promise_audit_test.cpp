#include <dispatch/promise_audit.h>
#include <gtest/gtest.h>

namespace chivewharf::dispatch {
namespace {

// Guards against violations that no counter shows or that count under the wrong promise.
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
    audit.submission_settled(reply, 2, 0);
    audit.task_resent(true);
    audit.task_started(upstream::worker_state::usable);
    for (int promise = 1; promise <= 8; ++promise)
        EXPECT_EQ(count(promise), 0U) << promise;

    audit.submission_settled(reply, 3, 0);
    EXPECT_EQ(count(2), 1U);
    submission::answer refused;
    refused.result = submission::outcome::failed;
    refused.work = work_state::not_run;
    audit.submission_settled(refused, 1, 1);
    EXPECT_EQ(count(4), 1U);
    audit.task_resent(false);
    EXPECT_EQ(count(1), 1U);
    EXPECT_EQ(count(5), 1U);
    audit.task_started(upstream::worker_state::leaving);
    EXPECT_EQ(count(6), 1U);
}

} // namespace
} // namespace chivewharf::dispatch
