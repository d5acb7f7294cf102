#include "fleet_simulation.h"
#include "owner_fixture.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace chivewharf::fleet {
namespace {

constexpr std::uint32_t member_milli = 40000;

wire::job_step gang_of(std::uint32_t count)
{
    auto gang = step(count, member_milli);
    gang.gang = true;
    return gang;
}

/// An owner with three workers, each with room for one task of `member_milli`. The job "j" has run
/// on the first two and was cancelled; its tasks are being stopped.
struct stopping_job : owner_fixture {
    explicit stopping_job(const wire::job_step& its_step) : steps{its_step}
    {
        add_workers({worker("a", 64000), worker("b", 64000), worker("c", 64000)});
        owner.submit(order("j", {steps}), "h", start);
        owner.cancel("j", start + milliseconds{50});
    }

    void submit_again(const std::string& requester, time_point now)
    {
        auto again = order("j", {steps});
        again.attempt = 2;
        owner.submit(again, requester, now);
    }

    /// The worker of the stopped run reports its end.
    void end_stopped(std::size_t which, time_point now)
    {
        const auto stopped = port.stops.at(which);
        const auto poll = std::find_if(port.polls.begin(), port.polls.end(), [&](const auto& one) {
            return one.order.to.id == stopped.to.id;
        });
        ASSERT_NE(poll, port.polls.end());
        std::rotate(port.polls.begin(), poll, poll + 1);
        status_reply reply;
        reply.clock_ms = 1000 + to_ms(now - start);
        reply.incarnation = 1;
        reply.ended.push_back({1, stopped.task, stopped.run, task_end::stopped, {}});
        port.answer_poll(reply, now);
    }

    wire::job_step steps;
};

// Guards against two runs of a gang: it was sent again while its former run was being stopped, and
// started beside it at once. Meanwhile it must hold no room that others need.
TEST(former_run, gang_waits_for_the_last_end_and_starts_at_once)
{
    stopping_job fixture{gang_of(2)};
    const auto now = start + milliseconds{60};
    ASSERT_EQ(fixture.port.stops.size(), 2U);
    fixture.end_stopped(0, now);
    fixture.submit_again("h", now);
    ASSERT_EQ(fixture.port.starts.size(), 2U) << "started beside its former run";
    fixture.owner.submit(fixture.order("k", {step(1, member_milli)}), "h", now);
    EXPECT_EQ(fixture.port.starts.size(), 3U) << "a waiting gang held room";
    fixture.end_stopped(1, now + milliseconds{30});
    ASSERT_EQ(fixture.port.starts.size(), 5U) << "started only with the next tick";
    EXPECT_EQ(fixture.port.starts[3].order.run, 17U);
    EXPECT_EQ(fixture.port.starts[4].order.run, 17U);
}

// Guards against a task that keeps the others of its step waiting, although only its own former run
// has not ended.
TEST(former_run, only_its_own_task_waits_for_it)
{
    stopping_job fixture{step(2, member_milli)};
    const auto now = start + milliseconds{60};
    fixture.end_stopped(1, now);
    fixture.submit_again("h", now);
    ASSERT_EQ(fixture.port.starts.size(), 3U);
    EXPECT_EQ(fixture.port.starts[2].order.task, fixture.port.stops[1].task);
    fixture.end_stopped(0, now + milliseconds{20});
    ASSERT_EQ(fixture.port.starts.size(), 4U);
    EXPECT_EQ(fixture.port.starts[3].order.task, fixture.port.stops[0].task);
}

// Guards against more tasks of a step on a worker than the job allows: a task of the former
// submission was still being stopped there.
TEST(former_run, tasks_that_are_being_stopped_count_for_the_spread_limit)
{
    auto spread = step(3, 1000);
    spread.max_per_worker = 1;
    stopping_job fixture{spread};
    const auto now = start + milliseconds{60};
    fixture.end_stopped(0, now);
    fixture.submit_again("h", now);
    ASSERT_EQ(fixture.port.starts.size(), 4U);
    EXPECT_EQ(fixture.port.starts[3].order.to.id, fixture.port.stops[0].to.id);
}

// Guards against two runs of a job in two failure domains: its owner refuses it while a former run
// is being stopped, and the requester, which knows of no other run, sends it elsewhere at once.
TEST(former_run, refused_job_is_not_free_to_run_elsewhere_before_it_has_ended)
{
    stopping_job fixture{gang_of(2)};
    fixture.owner.set_usable_share(0, start + milliseconds{110});
    fixture.submit_again("other", start + milliseconds{110});
    ASSERT_EQ(fixture.results.size(), 1U);
    EXPECT_EQ(fixture.results[0].end, wire::job_end::abandoned);
    fixture.end_stopped(0, start + milliseconds{120});
    fixture.end_stopped(1, start + milliseconds{120});
    fixture.submit_again("other", start + milliseconds{130});
    ASSERT_EQ(fixture.results.size(), 2U);
    EXPECT_EQ(fixture.results[1].end, wire::job_end::overloaded);
}

// Guards against two runs of a task after a takeover: the worker on which the former owner has
// started it lists the run, and another worker is free.
TEST(former_run, run_of_an_earlier_owner_counts)
{
    owner_fixture fixture;
    fixture.add_workers({worker("a", 64000), worker("b", 64000)});
    fixture.owner.acquire_workers(2, false, start + milliseconds{10});
    ASSERT_EQ(fixture.port.polls.size(), 2U);
    status_reply reply;
    reply.clock_ms = 1020;
    reply.incarnation = 1;
    reply.running.push_back({"j.0.0.0", 1, {}, 50});
    fixture.port.answer_poll(reply, start + milliseconds{20});
    reply.running.clear();
    fixture.port.answer_poll(reply, start + milliseconds{20});
    fixture.owner.submit(fixture.order("j", {step(1, member_milli)}), "h",
                         start + milliseconds{30});
    EXPECT_TRUE(fixture.port.starts.empty());
    reply.clock_ms = 1060;
    reply.ended.push_back({1, "j.0.0.0", 1, task_end::stopped, {}});
    fixture.port.answer_poll(reply, start + milliseconds{60});
    ASSERT_EQ(fixture.port.starts.size(), 1U);
}

// Guards against a job that waits forever: the worker that lists a run of an earlier owner is
// silent from then on, so that no reply tells of its end. Its lease ends within a second.
TEST(former_run, run_of_an_earlier_owner_on_a_silent_worker_ends_with_its_lease)
{
    owner_fixture fixture;
    fixture.add_workers({worker("a", 64000)});
    fixture.owner.acquire_workers(2, false, start);
    status_reply reply;
    reply.clock_ms = 1000;
    reply.incarnation = 1;
    reply.running.push_back({"j.0.0.0", 1, {}, 50});
    fixture.port.answer_poll(reply, start);
    fixture.owner.update_workers({}, ++fixture.revision, start);
    EXPECT_EQ(fixture.owner.workers(), 1U) << "the run would be forgotten";
    ASSERT_EQ(fixture.port.polls.size(), 1U);
    status_reply lost;
    lost.received = start + milliseconds{500};
    fixture.port.polls.front().reply(lost);
    fixture.owner.tick(start + milliseconds{900});
    EXPECT_FALSE(fixture.owner.has_worker_to_remove());
    fixture.owner.tick(start + milliseconds{1100});
    EXPECT_TRUE(fixture.owner.has_worker_to_remove());
}

// Guards against a run that passes for ended with the end of another run of its task.
TEST(outstanding_runs, end_of_one_run_leaves_the_others)
{
    outstanding_runs runs;
    runs.add("j.0.0.0", "a", 1);
    runs.add("j.0.0.0", "b", 17);
    runs.add("j.0.0.1", "b", 17);
    runs.remove("j.0.0.0", "b", 1);
    runs.remove("j.0.0.0", "b", 17);
    EXPECT_TRUE(runs.contains("j.0.0.0"));
    EXPECT_TRUE(runs.contains_job("j"));
    EXPECT_FALSE(runs.contains_job("j.0.0.0"));
    EXPECT_EQ(runs.count("j", 0, "b"), 1U);
    EXPECT_EQ(runs.count("j", 1, "b"), 0U);
    runs.remove("j.0.0.0", "a", 1);
    EXPECT_FALSE(runs.contains("j.0.0.0"));
    runs.remove("j.0.0.1", "b", 17);
    EXPECT_FALSE(runs.contains_job("j"));
    EXPECT_EQ(runs.tasks(), 0U);
}

// Guards against the same in a whole cluster: a host freezes for about as long as its owner waits
// for it, and sends its gang again as it wakes, while the owner stops the former run.
TEST(former_run, gang_of_a_host_that_freezes_runs_once_at_a_time)
{
    fleet_simulation::options options;
    options.hosts = {3, 2};
    options.workers = 8;
    fleet_simulation simulation{options};
    simulation.run_for(seconds{3});
    ASSERT_TRUE(simulation.claims("host-0-1").empty());
    auto gang = gang_of(3);
    gang.memory_mb = 64;
    gang.estimate_ms = 1800;
    for (int length = 700; length <= 900; length += 5) {
        const auto job = "job-" + std::to_string(length);
        simulation.submit(job, "host-0-1", {gang}, seconds{8});
        simulation.run_for(milliseconds{300});
        simulation.freeze("host-0-1", true);
        simulation.run_for(milliseconds{length});
        simulation.freeze("host-0-1", false);
        simulation.run_for(seconds{7});
        EXPECT_EQ(simulation.jobs().at(job).answers, std::vector<std::string>{"completed"}) << job;
    }
    EXPECT_EQ(simulation.violations(), std::vector<std::string>{});
}

} // namespace
} // namespace chivewharf::fleet
