#include <sched/sched.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <string>
#include <vector>

namespace chivewharf::sched {
namespace {

constexpr time_point start_time{seconds{1000}};

// Guards against declared run times that are wrong by a factor of 10 and keep their influence, and
// against estimates that are not normalised by the speed of the worker.
TEST(run_time_estimator, a_wrong_declaration_loses_its_influence)
{
    run_time_estimator estimator;
    const auto expected = [&] { return to_seconds(estimator.expected("s", "k", seconds{2})); };
    EXPECT_EQ(expected(), 2);
    for (int i = 0; i < 3; ++i)
        estimator.observe("s", "k", milliseconds{100}, 2.0); // 0.2 s on a worker of speed 1
    EXPECT_NEAR(expected(), 1.1, 1e-6);
    for (int i = 0; i < 97; ++i)
        estimator.observe("s", "k", milliseconds{100}, 2.0);
    EXPECT_NEAR(expected(), 0.2, 0.06);
    EXPECT_EQ(estimator.min_run_time("s", "k"), milliseconds{100});
    EXPECT_FALSE(estimator.min_run_time("s", "other"));
    for (int i = 0; i < 300; ++i)
        estimator.observe("s", "k", seconds{1}, 1.0);
    EXPECT_NEAR(to_seconds(estimator.quantile("s", "k", 0.9, {})), 1.0, 0.2);
}

// Guards against quantiles that are wrong by more than the width of a bucket (a factor of 2^(1/4)).
RC_GTEST_PROP(run_time_estimator_quantile, follows_the_distribution, (std::uint64_t seed))
{
    rng random{seed};
    run_time_estimator estimator;
    for (int i = 0; i < 2000; ++i)
        estimator.observe("s", "k", from_seconds(uniform(random)), 1.0);
    RC_ASSERT(std::abs(to_seconds(estimator.quantile("s", "k", 0.5, {})) - 0.5) < 0.3);
    RC_ASSERT(estimator.quantile("s", "k", 0.9, {}) >= estimator.quantile("s", "k", 0.5, {}));
}

// Guards against unbounded memory if callers use ever new names of kinds.
TEST(run_time_estimator, forgets_the_kind_observed_longest_ago)
{
    run_time_estimator estimator{2};
    for (const auto* kind : {"a", "b", "a", "c"})
        estimator.observe("s", kind, milliseconds{50}, 1.0);
    EXPECT_EQ(estimator.kinds(), 2U);
    EXPECT_TRUE(estimator.min_run_time("s", "a"));
    EXPECT_FALSE(estimator.min_run_time("s", "b"));
}

// Guards against a limit that every entry host applies in full, and against a host that is locked
// out by the usage of its peers.
TEST(limits, the_local_part_follows_the_usage_of_the_other_hosts)
{
    limits shared;
    ASSERT_TRUE(shared.set_customer(1, {.concurrency = 96}, start_time));
    EXPECT_EQ(shared.local_concurrency(1), 96U);
    shared.set_live_entry_hosts(48);
    EXPECT_EQ(shared.local_concurrency(1), 2U);
    shared.set_remote_running(1, 30);
    EXPECT_EQ(shared.local_concurrency(1), 66U);
    shared.set_remote_running(1, 96);
    EXPECT_EQ(shared.local_concurrency(1), 2U);
}

// Guards against hosts that together exceed the limit permanently: once each has seen the usage of
// the other, their sum must equal the limit.
TEST(limits, two_hosts_converge_to_the_limit)
{
    limits hosts[2];
    std::uint32_t running[2] = {90, 10};
    for (auto& host : hosts) {
        host.set_live_entry_hosts(2);
        ASSERT_TRUE(host.set_customer(1, {.concurrency = 60}, start_time));
    }
    for (int round = 0; round < 10; ++round) {
        const int i = round % 2;
        hosts[i].set_remote_running(1, running[1 - i]);
        running[i] = *hosts[i].local_concurrency(1);
    }
    EXPECT_EQ(running[0] + running[1], 60U);
}

// Guards against a token bucket that refills too fast, and a wake-up time at which there is no
// token yet.
RC_GTEST_PROP(limits_rate, starts_never_exceed_burst_and_rate, (std::uint64_t seed))
{
    rng random{seed};
    limits shared;
    const double rate = 1 + 1000 * uniform(random);
    const double burst = 1 + 10 * uniform(random);
    RC_ASSERT(shared.set_customer(1, {.rate = rate, .burst = burst}, start_time).has_value());
    auto now = start_time;
    for (int starts = 1; starts <= 200; ++starts) {
        const auto verdict = shared.check(1, now);
        if (verdict.why == reason::rate_limited) {
            now = verdict.at;
            RC_ASSERT(shared.check(1, now).why == reason::none);
        }
        shared.started(1, now);
        RC_ASSERT(starts <= burst + rate * to_seconds(now - start_time) + 1e-3);
        now += from_seconds(uniform(random) / rate);
    }
}

// Guards against settings that would cause a division by zero or block a customer permanently.
TEST(policies, values_out_of_range_are_refused)
{
    limits shared;
    const first_come order;
    fair_queue queue{shared, order};
    EXPECT_EQ(shared.set_customer(1, {.rate = 0.0}, start_time).error().code,
              sched_errc::invalid_policy);
    EXPECT_FALSE(shared.set_customer(1, {.burst = 0}, start_time));
    EXPECT_FALSE(queue.set_customer(1, {.weight = 0}));
    EXPECT_FALSE(queue.set_customer(1, {.max_share = 0}));
    EXPECT_EQ(queue.enqueue(1, 1, {{}}, start_time).error().code, sched_errc::unknown_customer);
    ASSERT_TRUE(queue.set_customer(1, {}));
    EXPECT_EQ(queue.enqueue(1, 1, {}, start_time).error().code, sched_errc::no_tasks);
    ASSERT_TRUE(queue.enqueue(1, 1, {{}}, start_time));
    EXPECT_EQ(queue.enqueue(1, 1, {{}}, start_time).error().code, sched_errc::duplicate_job);
}

struct admission_test : testing::Test {
    admission_test()
    {
        queue.set_capacity(10);
        for (customer_id c = 1; c <= 2; ++c)
            EXPECT_TRUE(queue.set_customer(c, {}));
    }

    void add(customer_id c, std::uint32_t tasks)
    {
        std::vector<queued_task> list(tasks, {0, milliseconds{100}});
        ASSERT_TRUE(queue.enqueue(c, next_job++, list, start_time));
    }

    admission_verdict decide(admission_request request)
    {
        request.work = milliseconds{100} * static_cast<std::int64_t>(request.tasks);
        request.max_run_time = milliseconds{100};
        if (request.deadline == time_point{})
            request.deadline = start_time + seconds{2};
        return admission_control.decide(request, queue, shared, start_time, random);
    }

    limits shared;
    first_come order;
    fair_queue queue{shared, order};
    admission admission_control;
    rng random{20261204};
    job_handle next_job = 1;
};

// Guards against admitting work that cannot be answered in time, and against refusing a customer
// because of another customer's backlog.
TEST_F(admission_test, prediction_uses_the_customers_own_share)
{
    EXPECT_EQ(decide({.customer = 1}).why, reason::none);
    add(1, 500); // 5 s on all slots
    EXPECT_EQ(decide({.customer = 1}).why, reason::predicted_wait);
    const auto other = decide({.customer = 2, .tasks = 10});
    EXPECT_EQ(other.why, reason::none);
    EXPECT_LE(other.predicted, milliseconds{300});
    queue.set_capacity(0);
    EXPECT_EQ(decide({.customer = 2}).why, reason::predicted_wait);
}

// Guards against a wrong refusal reason, which would point operators to the wrong setting.
TEST_F(admission_test, each_refusal_has_its_reason)
{
    EXPECT_EQ(decide({.customer = 9}).why, reason::customer_removed);
    EXPECT_EQ(decide({.customer = 1, .deadline = start_time}).why, reason::deadline_passed);
    const auto unreachable = decide({.customer = 1, .min_run_time = seconds{3}});
    EXPECT_EQ(unreachable.why, reason::deadline_unreachable);
    EXPECT_EQ(unreachable.retry_after, duration{0});
    EXPECT_EQ(decide({.customer = 1, .tasks = 20'001}).why, reason::queue_full);
    ASSERT_TRUE(shared.set_customer(1, {.rate = 1.0}, start_time));
    EXPECT_EQ(decide({.customer = 1, .tasks = 20}).why, reason::rate_limited);
    ASSERT_TRUE(shared.set_customer(1, {.concurrency = 1}, start_time));
    EXPECT_EQ(decide({.customer = 1, .tasks = 30}).why, reason::concurrency_limited);
    admission_control.set_policy({.max_customer_tasks = 10});
    EXPECT_EQ(decide({.customer = 1, .tasks = 11}).why, reason::queue_full);
}

// Guards against a retry storm in which all refused work is retried at the same time. Per second,
// no more retries may be scheduled than the slots can serve (100 tasks), with a margin for the
// jitter.
TEST_F(admission_test, refused_work_returns_no_faster_than_it_can_be_served)
{
    add(1, 500);
    std::vector<int> returns(40);
    for (int i = 0; i < 1000; ++i) {
        const auto verdict = decide({.customer = 1});
        ASSERT_EQ(verdict.why, reason::predicted_wait);
        ASSERT_GE(verdict.retry_after, seconds{3});
        ++returns.at(static_cast<std::size_t>(to_seconds(verdict.retry_after)));
    }
    EXPECT_LE(*std::max_element(returns.begin(), returns.end()), 150);
}

// Guards against retries that multiply the load on failing upstreams.
RC_GTEST_PROP(retry_budget_share, retries_stay_below_a_tenth_of_first_tries, (std::uint64_t seed))
{
    rng random{seed};
    retry_budget budget;
    int first = 0;
    int retries = 0;
    for (int i = 0; i < 5000; ++i) {
        if (uniform(random) < 0.5) {
            budget.first_try();
            ++first;
        }
        else if (budget.take()) {
            ++retries;
        }
        RC_ASSERT(retries <= retry_budget::initial_tokens + 0.1 * first + 1e-6);
        RC_ASSERT(budget.tokens() <= retry_budget::max_tokens);
    }
}

// Guards against synchronised retries, and against overflow in the back-off step.
TEST(retry_budget, backoff_is_jittered_and_stays_in_range)
{
    rng random{20261204};
    for (const std::uint32_t retry : {0U, 1U, 5U, 40U, 4'000'000'000U}) {
        const auto first = retry_budget::backoff(retry, random);
        EXPECT_NE(first, retry_budget::backoff(retry, random));
        EXPECT_GE(first, retry_budget::min_backoff);
        EXPECT_LE(first, retry_budget::max_backoff);
    }
    EXPECT_GE(retry_budget::backoff(40, random), milliseconds{500});
}

} // namespace
} // namespace chivewharf::sched
