#include "overload_replay.h"
#include "owner_fixture.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace chivewharf::fleet {
namespace {

constexpr std::array<double, 4> overloads{1.2, 1.5, 2, 3};

replay_result replay(double load, bool priorities)
{
    overload_replay::options options;
    options.load = load;
    options.priorities = priorities;
    return overload_replay{options}.run();
}

void print(double load, const char* order, const replay_result& result)
{
    for (std::size_t priority = 0; priority < result.by_priority.size(); ++priority) {
        const auto& one = result.by_priority[priority];
        std::printf("load %.1f  %-8s  priority %zu  jobs %5lu  in time %5lu  late %5lu  refused "
                    "%5lu (later %lu)  core s in time %6.0f\n",
                    load, order, priority, one.jobs, one.in_time, one.late, one.refused,
                    result.refused_later[priority], one.work_in_time);
    }
}

/// Both orders on the same load, each replayed once for all tests.
struct replayed_load {
    replay_result former;
    replay_result current;
};

const replayed_load& replayed(double load)
{
    static std::map<double, replayed_load> all;
    const auto known = all.find(load);
    if (known != all.end())
        return known->second;
    const auto& added =
        all.emplace(load, replayed_load{replay(load, false), replay(load, true)}).first->second;
    print(load, "former", added.former);
    print(load, "priority", added.current);
    return added;
}

class overload : public testing::TestWithParam<double> {};

// Guards against an order in which nearly everything starts late once demand exceeds capacity.
TEST_P(overload, more_jobs_meet_their_objective_than_in_the_former_order)
{
    const auto& both = replayed(GetParam());
    EXPECT_GT(both.current.total().in_time, both.former.total().in_time);
    EXPECT_EQ(both.current.unanswered, 0U);
}

// Guards against losses that fall on the most urgent work. A less urgent priority may lose a
// smaller part of its jobs only by what is reserved for it.
TEST_P(overload, urgent_work_loses_less_beyond_the_reserved_share)
{
    const auto& result = replayed(GetParam()).current;
    const auto all = result.total().work_started;
    double less_urgent = 0;
    for (std::size_t priority = 2; priority > 0; --priority) {
        less_urgent += result.by_priority[priority].work_started;
        const bool loses_less = result.by_priority[priority].lost_share() <
                                result.by_priority[priority - 1].lost_share();
        if (loses_less) {
            EXPECT_LE(less_urgent, job_queue::reserved_share * all) << "priority " << priority;
        }
    }
}

// Guards against jobs that wait in vain. The most urgent work has nothing that could come before
// it, and no worker is lost.
TEST_P(overload, admitted_urgent_jobs_are_not_refused_later)
{
    EXPECT_EQ(replayed(GetParam()).current.refused_later[0], 0U);
}

// Guards against refusals while workers are free.
TEST_P(overload, no_job_is_refused_that_idle_workers_could_have_started)
{
    EXPECT_EQ(replayed(GetParam()).current.refused_with_room, 0U);
}

INSTANTIATE_TEST_SUITE_P(loads, overload, testing::ValuesIn(overloads), [](const auto& one) {
    return std::to_string(std::lround(one.param * 10));
});

// Guards against a collapse: work that is started and ends too late wastes the resources.
TEST(overload_work, useful_work_does_not_fall_under_twice_the_capacity)
{
    const auto fits = replayed(1).current.total().work_in_time;
    EXPECT_GE(replayed(2).current.total().work_in_time, 0.9 * fits);
}

// Guards against decisions that depend on anything but the events and their times.
TEST(overload_work, same_input_gives_the_same_decisions)
{
    EXPECT_EQ(replay(2, true).decisions, replayed(2).current.decisions);
}

queued_job waiting(const std::string& id, std::uint32_t priority, bool started, int latest_ms)
{
    return {priority, started, 8000, start + milliseconds{latest_ms}, id};
}

// Guards against a started job that waits behind others while its tasks hold resources.
TEST(job_queue, started_jobs_go_first_within_a_priority)
{
    job_queue queue;
    queue.put(waiting("early", 1, false, 10));
    queue.put(waiting("started", 1, true, 90));
    queue.put(waiting("urgent", 0, false, 99));
    EXPECT_EQ(queue.priorities(), (std::vector<std::uint32_t>{0, 1}));
    EXPECT_EQ(queue.jobs(1).begin()->job, "started");
    EXPECT_EQ(queue.demand_milli(0), 8000);
    EXPECT_EQ(queue.demand_milli(1), 24000);
}

// Guards against sums that drift from the waiting jobs as jobs move and leave.
RC_GTEST_PROP(job_queue, sums_and_places_follow_every_change, (std::uint64_t seed))
{
    rng random{seed};
    job_queue queue;
    std::map<std::string, queued_job> model;
    for (int i = 0; i < 300; ++i) {
        const auto id = std::to_string(random() % 40);
        if (random() % 3 == 0) {
            queue.erase(id);
            model.erase(id);
            continue;
        }
        auto job = waiting(id, random() % 4, random() % 2 == 0, static_cast<int>(random() % 100));
        job.demand_milli = static_cast<std::int64_t>(random() % 9000);
        model[id] = job;
        queue.put(job);
    }
    RC_ASSERT(queue.size() == model.size());
    for (std::uint32_t priority = 0; priority < 4; ++priority) {
        std::int64_t demand = 0;
        std::set<queued_job> expected;
        for (const auto& [id, job] : model) {
            demand += job.priority <= priority ? job.demand_milli : 0;
            if (job.priority == priority)
                expected.insert(job);
        }
        RC_ASSERT(queue.demand_milli(priority) == demand);
        RC_ASSERT(std::equal(expected.begin(), expected.end(), queue.jobs(priority).begin(),
                             queue.jobs(priority).end(),
                             [](const auto& a, const auto& b) { return a.job == b.job; }));
    }
}

// Guards against starvation, and against a share that grows beyond what is reserved.
TEST(job_queue, reserved_share_is_due_until_it_is_used)
{
    job_queue queue;
    queue.work_started(0, 100, start);
    EXPECT_TRUE(queue.below_reserved_share(1, start));
    queue.work_started(2, 100 * job_queue::reserved_share / (1 - job_queue::reserved_share) + 1,
                       start);
    EXPECT_FALSE(queue.below_reserved_share(1, start));
}

// Guards against a typical demand of 0, which no worker seems to fit, after a quiet hour.
TEST(demand_profile, typical_demand_is_kept_while_nothing_arrives)
{
    demand_profile profile;
    profile.task_demand(0, 8000, 3, start);
    profile.task_demand(1, 4000, 1, start + milliseconds{1});
    profile.task_ended(8000, milliseconds{50}, start);
    EXPECT_NEAR(static_cast<double>(profile.typical_demand()), 7000, 10);
    EXPECT_EQ(profile.mean_run_time(start), milliseconds{50});
    EXPECT_EQ(profile.mean_run_time(start + seconds{3600}), std::nullopt);
}

// Guards against a job with many tasks that a nearly idle shard refuses: what it starts first
// releases resources for the rest.
TEST(admission_forecast, free_resources_release_once_they_are_filled)
{
    forecast_input load;
    load.usable_milli = 128000;
    load.used_milli = 8000;
    load.mean_run_time = milliseconds{100};
    EXPECT_EQ(forecast_wait(load, 128000, 0.25), duration{0});
    EXPECT_LE(forecast_wait(load, 256000, 0.25).value(), milliseconds{100});
    load.mean_run_time.reset();
    EXPECT_EQ(forecast_wait(load, 256000, 0.25), std::nullopt);
}

// Guards against a forecast that admits more the more work is ahead.
RC_GTEST_PROP(admission_forecast, wait_grows_with_the_demand_ahead, ())
{
    forecast_input load;
    load.usable_milli = *rc::gen::inRange(0, 100000);
    load.used_milli = *rc::gen::inRange(1, 400000);
    load.ahead_milli = *rc::gen::inRange(0, 1000000);
    load.more_urgent_rate = *rc::gen::inRange(0, 4000);
    load.mean_run_time = milliseconds{*rc::gen::inRange(1, 2000)};
    const double demand = *rc::gen::inRange(1, 100000);
    const auto shorter = forecast_wait(load, demand, 0.25).value();
    load.ahead_milli += *rc::gen::inRange(0, 1000000);
    load.more_urgent_rate += *rc::gen::inRange(0, 4000);
    RC_ASSERT(forecast_wait(load, demand, 0.25).value() >= shorter);
}

// Guards against refused callers that come back at the same moment or before more urgent ones.
RC_GTEST_PROP(retry_schedule, more_urgent_jobs_return_first, ())
{
    const duration wait = milliseconds{*rc::gen::inRange(0, 20000)};
    const auto id = std::to_string(*rc::gen::arbitrary<std::uint32_t>());
    const auto urgent = retry_delay(wait, 0, id);
    const auto less_urgent = retry_delay(wait, *rc::gen::inRange(1, 9), id + "b");
    RC_ASSERT(urgent >= min_retry_delay);
    RC_ASSERT(less_urgent <= max_retry_delay);
    RC_ASSERT(urgent <= less_urgent);
}

// Guards against refused callers that come back together: equal moments count each.
TEST(retry_schedule, refused_callers_are_spread_evenly_also_at_the_longest_wait)
{
    constexpr int callers = 1000;
    constexpr int parts = 10;
    for (const duration wait : {duration{milliseconds{200}}, duration{seconds{10}}}) {
        std::multiset<duration> moments;
        for (int i = 0; i < callers; ++i)
            moments.insert(retry_delay(wait, 1, "job-" + std::to_string(i)));
        const auto length = (*moments.rbegin() - *moments.begin()) / parts + duration{1};
        std::map<duration::rep, int> callers_in_part;
        for (const auto moment : moments)
            ++callers_in_part[(moment - *moments.begin()) / length];
        for (const auto& [part, count] : callers_in_part)
            EXPECT_LE(count, 2 * callers / parts) << "part " << part;
    }
}

wire::job_order order_of(const owner_fixture& fixture, const std::string& id,
                         std::uint32_t priority, std::uint32_t tasks)
{
    auto one = fixture.order(id, {step(tasks, 8000)});
    one.priority = priority;
    return one;
}

// Guards against a caller that is told nothing, or twice, when the owner ends with a full queue.
TEST(shard_owner, every_waiting_job_is_answered_when_the_owner_ends)
{
    owner_fixture fixture;
    fixture.add_workers({worker("a", 16000)});
    for (int i = 0; i < 200; ++i)
        fixture.owner.submit(order_of(fixture, "j" + std::to_string(i), i % 3, 1), "h", start);
    const auto refused = fixture.results.size();
    fixture.owner.abandon(start + milliseconds{10});
    std::map<wire::job_end, int> ends;
    for (std::size_t i = refused; i < fixture.results.size(); ++i)
        ++ends[fixture.results[i].end];
    EXPECT_EQ(fixture.results.size(), 200U);
    EXPECT_EQ(ends[wire::job_end::abandoned], 2);
    EXPECT_EQ(ends[wire::job_end::not_owner], 198 - static_cast<int>(refused));
}

// Guards against the order by priority in a deployment that has one: a job from another domain is
// one priority less urgent, but was not sent with another.
TEST(shard_owner, remote_jobs_of_the_only_priority_keep_the_former_order)
{
    owner_fixture fixture;
    fixture.add_workers({worker("a", 16000)});
    fixture.owner.submit(order_of(fixture, "a", 0, 1), "h", start);
    fixture.owner.submit(order_of(fixture, "b", 0, 1), "h", start, true);
    EXPECT_FALSE(fixture.owner.room(start).has_value());
    fixture.owner.submit(order_of(fixture, "c", 1, 1), "h", start);
    EXPECT_TRUE(fixture.owner.room(start).has_value());
}

// Guards against a configuration change that reorders jobs which wait already.
TEST(shard_owner, waiting_job_keeps_the_priority_it_arrived_with)
{
    owner_fixture fixture;
    fixture.add_workers({worker("a", 8000)});
    fixture.owner.submit(order_of(fixture, "runs", 1, 1), "h", start);
    fixture.owner.submit(order_of(fixture, "first", 0, 1), "h", start);
    fixture.owner.submit(order_of(fixture, "second", 1, 1), "h", start);
    auto changed = order_of(fixture, "second", 0, 1);
    changed.attempt = 2;
    changed.target_ms = 1;
    fixture.owner.submit(changed, "h", start);
    ASSERT_EQ(fixture.port.starts.size(), 1U);
    status_reply reply;
    reply.clock_ms = 1010;
    reply.incarnation = 1;
    reply.ended.push_back({1,
                           fixture.port.starts[0].order.task,
                           fixture.port.starts[0].order.run,
                           task_end::done,
                           {}});
    fixture.port.answer_poll(reply, start + milliseconds{10});
    ASSERT_EQ(fixture.port.starts.size(), 2U);
    EXPECT_EQ(job_run::job_of(fixture.port.starts[1].order.task), "first");
}

} // namespace
} // namespace chivewharf::fleet
