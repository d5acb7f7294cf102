#include "owner_fixture.h"

#include <algorithm>
#include <fleet/fleet.h>
#include <gtest/gtest.h>
#include <wire/frame_codec.h>

namespace chivewharf::fleet {
namespace {

// Guards against a hand-over that interrupts the predecessor's jobs: a worker that is first listed
// during it may already run tasks of the predecessor.
TEST(shard_owner, new_worker_is_acquired_only_after_the_predecessor_has_released_it)
{
    owner_fixture fixture;
    auto entry = worker("a", 64000);
    entry.domain = "d";
    fixture.owner.acquire_workers(1, true, start);
    fixture.owner.update_workers({entry}, ++fixture.revision, start);
    fixture.owner.tick(start + milliseconds{20});
    EXPECT_TRUE(fixture.port.polls.empty());
    EXPECT_FALSE(fixture.owner.takeover_complete());
    fixture.owner.worker_released("a", start + milliseconds{40});
    EXPECT_EQ(fixture.port.polls.size(), 1U);
}

// The same if the predecessor ends without having known the worker.
TEST(shard_owner, new_worker_is_acquired_once_the_predecessor_is_gone)
{
    owner_fixture fixture;
    auto entry = worker("a", 64000);
    entry.domain = "d";
    fixture.owner.acquire_workers(1, true, start);
    fixture.owner.update_workers({entry}, ++fixture.revision, start);
    fixture.owner.predecessor_gone(start + milliseconds{40});
    EXPECT_EQ(fixture.port.polls.size(), 1U);
}

/// Reports to the owner that the worker runs nothing any more, and that its leases are over.
void answer_poll_without_tasks(owner_fixture& fixture, time_point now)
{
    status_reply reply;
    reply.clock_ms = 100000;
    reply.incarnation = 1;
    fixture.port.answer_poll(reply, now);
}

/// Reports to the owner that a task on the worker of the oldest poll has succeeded.
void end_task(owner_fixture& fixture, const std::string& task, time_point now)
{
    status_reply reply;
    reply.clock_ms = 1000 + to_ms(now - start);
    reply.incarnation = 1;
    reply.ended.push_back({1, task, 1, task_end::done, {}});
    fixture.port.answer_poll(reply, now);
}

/// Answers the oldest poll as a worker without tasks of the given incarnation.
void answer_poll_as(owner_fixture& fixture, std::int64_t incarnation, time_point now)
{
    status_reply reply;
    reply.clock_ms = 1000 * incarnation + to_ms(now - start);
    reply.incarnation = incarnation;
    fixture.port.answer_poll(reply, now);
}

worker_entry listed_worker(std::int64_t incarnation, std::int64_t cpu_milli)
{
    auto entry = worker("a", cpu_milli);
    entry.address = "10.0.0.1:1";
    entry.service = "s";
    entry.domain = "d";
    entry.incarnation = incarnation;
    return entry;
}

// Guards against a worker that is filled to the capacity of its former incarnation: it has come
// back under its id as a smaller kind, and its new entry has not been read yet.
TEST(shard_owner, restarted_worker_is_used_only_with_its_own_entry)
{
    owner_fixture fixture;
    fixture.add_workers({listed_worker(1, 64000)});
    fixture.owner.tick(start + seconds{6});
    answer_poll_as(fixture, 2, start + seconds{6});
    fixture.owner.submit(fixture.order("j", {step(3, 16000)}), "h", start + seconds{6});
    EXPECT_TRUE(fixture.port.starts.empty());
    EXPECT_EQ(fixture.owner.free_milli(), 0U);
    fixture.owner.update_workers({listed_worker(2, 16000)}, ++fixture.revision, start + seconds{6});
    fixture.owner.tick(start + seconds{6} + milliseconds{20});
    EXPECT_EQ(fixture.port.starts.size(), 1U);
}

// The reverse: an entry that is newer than the incarnation which answers, or an older one that
// arrives late, tells nothing of the worker that answers.
TEST(shard_owner, entry_of_another_incarnation_does_not_make_a_worker_usable)
{
    owner_fixture fixture;
    fixture.add_workers({listed_worker(2, 16000)});
    ASSERT_EQ(fixture.owner.usable_workers(), 0U)
        << "the fixture's worker answers as incarnation 1";
    fixture.owner.acquire_workers(2, false, start);
    answer_poll_as(fixture, 2, start);
    EXPECT_EQ(fixture.owner.usable_workers(), 1U);
    fixture.owner.update_workers({listed_worker(1, 64000)}, ++fixture.revision, start);
    EXPECT_EQ(fixture.owner.usable_workers(), 0U);
    fixture.owner.update_workers({listed_worker(2, 16000)}, ++fixture.revision, start);
    EXPECT_EQ(fixture.owner.usable_workers(), 1U);
}

// Guards against starts at a worker that has restarted as a smaller kind while it was idle: its
// next status poll is due only after seconds.
TEST(shard_owner, idle_worker_confirms_its_incarnation_before_a_start)
{
    owner_fixture fixture;
    fixture.add_workers({listed_worker(1, 64000)});
    const auto later = start + seconds{2};
    fixture.owner.tick(later);
    fixture.owner.submit(fixture.order("j", {step(3, 16000)}), "h", later);
    EXPECT_TRUE(fixture.port.starts.empty());
    ASSERT_EQ(fixture.port.polls.size(), 1U);
    answer_poll_as(fixture, 2, later);
    EXPECT_TRUE(fixture.port.starts.empty());
    fixture.owner.update_workers({listed_worker(2, 16000)}, ++fixture.revision, later);
    EXPECT_EQ(fixture.port.starts.size(), 1U);
}

// Guards against starts that are lost or wait for the next poll although the worker has confirmed.
TEST(shard_owner, held_starts_are_sent_once_the_worker_has_confirmed)
{
    owner_fixture fixture;
    fixture.add_workers({listed_worker(1, 64000)});
    const auto later = start + seconds{2};
    fixture.owner.submit(fixture.order("j", {step(3, 16000)}), "h", later);
    fixture.owner.submit(fixture.order("k", {step(1, 16000)}), "h", later);
    fixture.owner.cancel("k", later);
    ASSERT_FALSE(fixture.port.polls.empty());
    EXPECT_EQ(fixture.port.polls.front().order.wait, duration{0});
    answer_poll_as(fixture, 1, later + milliseconds{1});
    EXPECT_EQ(fixture.port.starts.size(), 3U) << "the cancelled job was not left out";
    EXPECT_EQ(fixture.owner.free_milli(), 16000U);
}

// Guards against a task that counts as possibly running at a silent worker although its start was
// never sent: it would wait for the end of a lease before it runs elsewhere.
TEST(shard_owner, held_start_of_a_silent_worker_moves_at_once)
{
    owner_fixture fixture;
    fixture.add_workers({worker("a", 16000), worker("b", 64000)});
    const auto later = start + seconds{2};
    fixture.owner.submit(fixture.order("j", {step(1, 16000)}), "h", later);
    ASSERT_EQ(fixture.port.polls.size(), 1U);
    const auto silent = fixture.port.polls.front();
    fixture.port.polls.clear();
    status_reply none;
    none.received = later + milliseconds{250};
    silent.reply(none);
    ASSERT_EQ(fixture.port.polls.size(), 1U);
    EXPECT_NE(fixture.port.polls[0].order.to.id, silent.order.to.id);
    answer_poll_as(fixture, 1, none.received);
    ASSERT_EQ(fixture.port.starts.size(), 1U);
    EXPECT_NE(fixture.port.starts[0].order.to.id, silent.order.to.id);
}

/// Answers all polls as workers without tasks, whose leases are over. Held starts are sent.
void answer_all_polls(owner_fixture& fixture, time_point now)
{
    for (auto left = fixture.port.polls.size(); left > 0; --left)
        answer_poll_without_tasks(fixture, now);
}

/// An owner with two workers that has started a job of one task for the host "h".
struct started_job : owner_fixture {
    started_job()
    {
        add_workers({worker("a", 64000), worker("b", 64000)});
        owner.tick(start);
        owner.submit(order("j", {step(1, 1000)}), "h", start);
        order_reply accepted;
        accepted.outcome = order_outcome::accepted;
        accepted.received = start; // before the next status poll is sent
        port.starts.at(0).reply(accepted);
    }
};

// Guards against a task that runs twice after its owner was paused: the requester had sent the job
// to another owner, and this one started it again in the time for which it waits for the lost link.
TEST(shard_owner, job_without_a_requester_is_not_started)
{
    started_job fixture;
    const auto now = start + milliseconds{100};
    fixture.owner.tick(now);
    fixture.owner.requester_lost("h", now);
    answer_poll_without_tasks(fixture, now + milliseconds{10}); // the task has ended as lapsed
    fixture.owner.tick(now + milliseconds{20});
    answer_all_polls(fixture, now + milliseconds{20});
    EXPECT_EQ(fixture.port.starts.size(), 1U);
    // The requester still counts on this owner.
    fixture.owner.submit(fixture.order("j", {step(1, 1000)}), "h", now + milliseconds{30});
    fixture.owner.tick(now + milliseconds{40});
    answer_all_polls(fixture, now + milliseconds{41});
    EXPECT_EQ(fixture.port.starts.size(), 2U);
}

// The same if the reply of a worker is processed before the process notices its pause.
TEST(shard_owner, nothing_is_started_between_a_pause_and_the_next_tick)
{
    started_job fixture;
    const auto now = start + seconds{3};
    answer_poll_without_tasks(fixture, now);
    EXPECT_EQ(fixture.metrics.counter("chivewharf_task_ends_total", "end=\"lapsed\""), 1U);
    answer_all_polls(fixture, now);
    EXPECT_EQ(fixture.port.starts.size(), 1U);
    fixture.owner.tick(now + milliseconds{1});
    EXPECT_EQ(fixture.port.starts.size(), 1U); // the job's deadline has passed
}

// Guards against a host that claims a domain whose workers it cannot reach: an attempt that ends
// without a connection is no answer of a worker.
TEST(adoption_probe, probe_without_a_connection_is_not_answered)
{
    recorded_worker_port port;
    worker_directory workers;
    auto entry = worker("a", 64000);
    entry.domain = "d";
    workers.put(entry);
    adoption_probe probe{port, workers};
    const auto reachable_after = [&](order_outcome outcome) {
        auto now = start;
        for (int i = 0; i < 10; ++i, now += milliseconds{200}) {
            probe.workers_reachable("d", now);
            while (!port.polls.empty()) {
                const auto call = port.polls.back();
                port.polls.pop_back();
                status_reply reply;
                reply.outcome = outcome;
                reply.received = now;
                call.reply(reply);
            }
        }
        const bool reachable = probe.workers_reachable("d", now);
        port.polls.clear();
        probe.forget("d");
        return reachable;
    };
    EXPECT_TRUE(reachable_after(order_outcome::fenced));
    EXPECT_FALSE(reachable_after(order_outcome::not_sent));
    EXPECT_FALSE(reachable_after(order_outcome::unanswered));
}

// Guards against a job that waits for more resources than any worker has.
TEST(shard_owner, job_larger_than_every_worker_is_refused_at_once)
{
    owner_fixture fixture;
    fixture.add_workers({worker("a", 64000)});
    fixture.owner.submit(fixture.order("j", {step(1, 65000)}), "h", start);
    ASSERT_EQ(fixture.results.size(), 1U);
    EXPECT_EQ(fixture.results[0].end, wire::job_end::impossible);
    EXPECT_TRUE(fixture.port.starts.empty());
}

// Guards against starts beyond a worker's capacity while earlier starts have no reply yet.
TEST(shard_owner, tasks_without_an_answer_occupy_resources)
{
    owner_fixture fixture;
    fixture.add_workers({worker("a", 64000)});
    fixture.owner.submit(fixture.order("j", {step(3, 27000)}), "h", start);
    EXPECT_EQ(fixture.port.starts.size(), 2U);
    fixture.owner.tick(start + milliseconds{20});
    EXPECT_EQ(fixture.port.starts.size(), 2U);
}

// Guards against a large task that starves while smaller ones take the room that it waits for on
// every worker.
TEST(shard_owner, smaller_tasks_leave_one_worker_to_the_first_that_waits)
{
    owner_fixture fixture;
    fixture.add_workers({worker("a", 16000), worker("b", 16000)});
    fixture.owner.submit(fixture.order("j", {step(2, 9000)}), "h", start);
    fixture.owner.submit(fixture.order("large", {step(1, 12000)}), "h", start);
    fixture.owner.submit(fixture.order("small", {step(2, 7000)}), "h", start + milliseconds{10});
    ASSERT_EQ(fixture.port.starts.size(), 3U);
    EXPECT_EQ(fixture.port.starts[2].order.task, "small.0.0.0");
    const auto& reserved = fixture.port.starts[2].order.to.id == "a" ? "b" : "a";
    const auto first = std::find_if(fixture.port.starts.begin(), fixture.port.starts.end(),
                                    [&](const auto& one) { return one.order.to.id == reserved; });
    const auto poll = std::find_if(fixture.port.polls.begin(), fixture.port.polls.end(),
                                   [&](const auto& one) { return one.order.to.id == reserved; });
    ASSERT_NE(poll, fixture.port.polls.end());
    std::rotate(fixture.port.polls.begin(), poll, poll + 1);
    end_task(fixture, first->order.task, start + milliseconds{50});
    ASSERT_EQ(fixture.port.starts.size(), 4U);
    EXPECT_EQ(fixture.port.starts[3].order.task, "large.0.0.0");
    EXPECT_EQ(fixture.port.starts[3].order.to.id, reserved);
}

// Guards against a job that keeps others waiting that fit: it lacks memory, not processor time.
TEST(shard_owner, job_without_memory_does_not_keep_others_waiting)
{
    owner_fixture fixture;
    fixture.add_workers({worker("a", 64000), worker("b", 64000)});
    auto memory = step(3, 1000);
    memory.memory_mb = 600;
    fixture.owner.submit(fixture.order("j", {memory}), "h", start);
    ASSERT_EQ(fixture.port.starts.size(), 2U);
    fixture.owner.submit(fixture.order("k", {step(1, 2000)}), "h", start);
    EXPECT_EQ(fixture.port.starts.size(), 3U);
}

// Guards against gang members that start without the others, and occupy workers while they wait.
TEST(shard_owner, gang_starts_whole_or_not_at_all)
{
    owner_fixture fixture;
    fixture.add_workers({worker("a", 64000)});
    auto gang = step(3, 27000);
    gang.gang = true;
    fixture.owner.submit(fixture.order("j", {gang}), "h", start);
    EXPECT_TRUE(fixture.port.starts.empty());
    gang.count = 2;
    fixture.owner.submit(fixture.order("k", {gang}), "h", start);
    ASSERT_EQ(fixture.port.starts.size(), 2U);
    EXPECT_EQ(fixture.port.starts[0].order.run, fixture.port.starts[1].order.run);
}

// Guards against more tasks of a step on one worker than the job allows, and against a task on a
// worker without the required label.
TEST(shard_owner, spread_limit_and_label_are_kept)
{
    owner_fixture fixture;
    auto labelled = worker("b", 64000);
    labelled.labels = {"fast"};
    fixture.add_workers({worker("a", 64000), labelled});
    auto spread = step(4, 1000);
    spread.max_per_worker = 1;
    fixture.owner.submit(fixture.order("j", {spread}), "h", start);
    EXPECT_EQ(fixture.port.starts.size(), 2U);
    auto bound = step(1, 1000);
    bound.required_label = "fast";
    fixture.owner.submit(fixture.order("k", {bound}), "h", start);
    ASSERT_EQ(fixture.port.starts.size(), 3U);
    EXPECT_EQ(fixture.port.starts[2].order.to.id, "b");
}

// Guards against a step that starts before the steps that it depends on.
TEST(shard_owner, dependent_step_waits)
{
    owner_fixture fixture;
    fixture.add_workers({worker("a", 64000)});
    auto second = step(1, 1000);
    second.depends_on = {0};
    fixture.owner.submit(fixture.order("j", {step(1, 1000), second}), "h", start);
    ASSERT_EQ(fixture.port.starts.size(), 1U);
    fixture.port.starts[0].reply({order_outcome::accepted, 1001, start + milliseconds{1}});
    status_reply done;
    done.clock_ms = 1100;
    done.incarnation = 1;
    done.ended = {{1, "j.0.0.0", 1, task_end::done, {}}};
    fixture.port.answer_poll(done, start + milliseconds{100});
    ASSERT_EQ(fixture.port.starts.size(), 2U);
    EXPECT_EQ(fixture.port.starts[1].order.task, "j.0.1.0");
}

// Guards against attempts beyond the limit, and against a job that gets no result after the last
// one.
TEST(shard_owner, job_fails_after_its_attempts)
{
    owner_fixture fixture;
    fixture.add_workers({worker("a", 64000), worker("b", 64000)});
    fixture.owner.submit(fixture.order("j", {step(1, 1000)}), "h", start);
    for (std::uint32_t attempt = 1; attempt <= 2; ++attempt) {
        const auto now = start + milliseconds{50} * attempt;
        const auto& call = fixture.port.starts.at(attempt - 1);
        EXPECT_EQ(call.order.run, attempt);
        call.reply({order_outcome::accepted, 1001, now});
        status_reply failed;
        failed.clock_ms = 1010;
        failed.incarnation = 1;
        failed.ended = {{1, "j.0.0.0", attempt, task_end::failed, {}}};
        fixture.port.answer_poll(failed, now);
    }
    ASSERT_EQ(fixture.results.size(), 1U);
    EXPECT_EQ(fixture.results[0].end, wire::job_end::failed);
    EXPECT_EQ(fixture.port.starts.size(), 2U);
    EXPECT_NE(fixture.port.starts[0].order.to.id, fixture.port.starts[1].order.to.id);
}

// Guards against orders with a fencing token other than their owner's, and against orders that
// outlive their lease.
TEST(shard_owner, orders_carry_token_and_expiry)
{
    owner_fixture fixture;
    fixture.add_workers({worker("a", 64000)});
    fixture.owner.submit(fixture.order("j", {step(1, 1000)}), "h", start);
    ASSERT_EQ(fixture.port.starts.size(), 1U);
    EXPECT_EQ(fixture.port.starts[0].order.token, 1U);
    EXPECT_EQ(fixture.port.starts[0].order.expires_at_ms, 1000 + to_ms(worker_session::lease));
}

// Guards against a new owner that reports its takeover as complete while it cannot reach workers
// which an earlier owner still can: their tasks would be started again elsewhere while they run.
TEST(shard_owner, takeover_is_not_complete_while_workers_are_silent)
{
    owner_fixture fixture;
    fixture.add_workers({worker("a", 64000), worker("b", 64000)});
    EXPECT_TRUE(fixture.owner.takeover_complete());
    fixture.owner.acquire_workers(2, false, start + seconds{1});
    fixture.owner.tick(start + seconds{10});
    EXPECT_FALSE(fixture.owner.takeover_complete());
}

// Guards against a worker that is kept in use by its own tasks after its entry has gone: the owner
// would go on starting tasks there, and a later owner would not know the worker.
TEST(shard_owner, worker_without_an_entry_gets_no_new_tasks)
{
    owner_fixture fixture;
    fixture.add_workers({worker("a", 64000)});
    fixture.owner.submit(fixture.order("j", {step(1, 1000)}), "h", start);
    ASSERT_EQ(fixture.port.starts.size(), 1U);
    fixture.owner.update_workers({}, ++fixture.revision, start);
    EXPECT_EQ(fixture.owner.workers(), 1U) << "its task would be lost";
    EXPECT_EQ(fixture.owner.free_milli(), 0U);
    fixture.owner.submit(fixture.order("k", {step(1, 1000)}), "h", start);
    EXPECT_EQ(fixture.port.starts.size(), 1U);
    ASSERT_EQ(fixture.results.size(), 1U);
    EXPECT_EQ(fixture.results[0].end, wire::job_end::impossible);
    EXPECT_FALSE(fixture.owner.has_worker_to_remove());
    end_task(fixture, "j.0.0.0", start + milliseconds{100});
    EXPECT_EQ(fixture.results.back().end, wire::job_end::completed);
    EXPECT_TRUE(fixture.owner.has_worker_to_remove());
    EXPECT_TRUE(fixture.owner.update_workers({}, ++fixture.revision, start + milliseconds{120}));
    EXPECT_EQ(fixture.owner.workers(), 0U);
}

// Guards against a task on a worker that the sender of its job does not know: if the owner died,
// its successor could pass for complete without that worker, and the task would start twice.
TEST(shard_owner, job_starts_only_on_workers_that_its_sender_knows)
{
    owner_fixture fixture;
    fixture.add_workers({worker("a", 1000)});
    auto order = fixture.order("j", {step(2, 1000)});
    order.worker_revision = fixture.owner.workers_in_use()->revision;
    fixture.add_workers({worker("a", 1000), worker("b", 64000)});
    ASSERT_EQ(fixture.owner.usable_workers(), 2U);
    fixture.owner.submit(order, "h", start);
    ASSERT_EQ(fixture.port.starts.size(), 1U);
    EXPECT_EQ(fixture.port.starts[0].order.to.id, "a");
    // The sender learns of the new worker and sends the job again.
    order.worker_revision = fixture.owner.workers_in_use()->revision;
    fixture.owner.submit(order, "h", start);
    fixture.owner.tick(start + milliseconds{20});
    ASSERT_EQ(fixture.port.starts.size(), 2U);
    EXPECT_EQ(fixture.port.starts[1].order.to.id, "b");
}

// Guards against a job that passes to another sender whose list lacks a worker on which it may run
// already.
TEST(shard_owner, job_is_not_taken_over_by_a_sender_with_an_older_list)
{
    owner_fixture fixture;
    fixture.add_workers({worker("a", 1000)});
    const auto older = fixture.owner.workers_in_use()->revision;
    fixture.add_workers({worker("a", 1000), worker("b", 64000)});
    auto order = fixture.order("j", {step(2, 1000)});
    order.worker_revision = fixture.owner.workers_in_use()->revision;
    fixture.owner.submit(order, "h", start);
    order.worker_revision = older;
    fixture.owner.submit(order, "other", start);
    ASSERT_EQ(fixture.results.size(), 1U);
    EXPECT_EQ(fixture.results[0].end, wire::job_end::not_owner);
    std::set<std::string> requesters;
    fixture.owner.collect_requesters(requesters);
    EXPECT_EQ(requesters, std::set<std::string>{"h"});
}

// Guards against a member of a gang that waits alone until its time limit, because another member
// was rejected: the worker has had that run in an earlier submission of the job.
TEST(shard_owner, members_of_a_gang_are_stopped_when_one_is_rejected)
{
    owner_fixture fixture;
    fixture.add_workers({worker("a", 2000), worker("b", 64000)});
    auto gang = step(3, 1000);
    gang.gang = true;
    fixture.owner.submit(fixture.order("j", {gang}), "h", start);
    ASSERT_EQ(fixture.port.starts.size(), 3U);
    order_reply rejected;
    rejected.outcome = order_outcome::stale_run;
    rejected.received = start + milliseconds{1};
    fixture.port.starts[0].reply(rejected);
    ASSERT_EQ(fixture.port.stops.size(), 2U);
    EXPECT_EQ(fixture.port.starts.size(), 3U) << "started again beside its former run";
    for (const auto& stopped : fixture.port.stops) {
        status_reply reply;
        reply.clock_ms = 1010;
        reply.incarnation = 1;
        reply.ended.push_back({1, stopped.task, stopped.run, task_end::stopped, {}});
        const auto poll =
            std::find_if(fixture.port.polls.begin(), fixture.port.polls.end(),
                         [&](const auto& one) { return one.order.to.id == stopped.to.id; });
        ASSERT_NE(poll, fixture.port.polls.end());
        const auto answer = *poll;
        fixture.port.polls.erase(poll);
        reply.outcome = order_outcome::accepted;
        reply.received = start + milliseconds{10};
        answer.reply(reply);
    }
    ASSERT_EQ(fixture.port.starts.size(), 6U);
    const auto run = fixture.port.starts[3].order.run;
    EXPECT_GT(run, fixture.port.starts[0].order.run);
    for (std::size_t i = 4; i < 6; ++i)
        EXPECT_EQ(fixture.port.starts[i].order.run, run);
}

// Guards against tasks that run on after their caller has left, and against starts that use their
// resources before they have ended.
TEST(shard_owner, cancel_stops_tasks_and_keeps_their_resources_occupied)
{
    owner_fixture fixture;
    fixture.add_workers({worker("a", 64000)});
    fixture.owner.submit(fixture.order("j", {step(2, 27000)}), "h", start);
    fixture.owner.cancel("j", start + milliseconds{5});
    EXPECT_EQ(fixture.port.stops.size(), 2U);
    EXPECT_TRUE(fixture.results.empty());
    fixture.owner.submit(fixture.order("k", {step(1, 27000)}), "h", start + milliseconds{6});
    EXPECT_EQ(fixture.port.starts.size(), 2U)
        << "resources of a task that is being stopped were given out";
}

// Guards against a job that is lost because a host which its caller has left gives it up, while
// another host, which the caller has reached since, waits for it.
TEST(shard_owner, job_is_withdrawn_only_by_the_host_that_waits_for_it)
{
    owner_fixture fixture;
    fixture.add_workers({worker("a", 64000)});
    fixture.owner.submit(fixture.order("j", {step(1, 27000)}), "former", start);
    fixture.owner.submit(fixture.order("j", {step(1, 27000)}), "current", start);
    fixture.owner.withdraw("j", "former", start);
    EXPECT_EQ(fixture.owner.jobs(), 1U);
    EXPECT_TRUE(fixture.port.stops.empty());
    fixture.owner.withdraw("j", "current", start);
    EXPECT_EQ(fixture.owner.jobs(), 0U);
    EXPECT_EQ(fixture.port.stops.size(), 1U);
}

// Guards against a successor that waits for a worker until its predecessor is gone: the entry had
// vanished, and the leaving owner removed the worker without a release.
TEST(shard_owner, leaving_owner_releases_a_worker_before_it_removes_it)
{
    owner_fixture fixture;
    fixture.add_workers({worker("a", 64000)});
    fixture.owner.submit(fixture.order("j", {step(1, 1000)}), "h", start);
    fixture.owner.leave(start);
    fixture.owner.update_workers({}, ++fixture.revision, start);
    EXPECT_TRUE(fixture.released.empty()) << "its task is still running";
    end_task(fixture, "j.0.0.0", start + milliseconds{100});
    fixture.owner.update_workers({}, ++fixture.revision, start + milliseconds{120});
    EXPECT_EQ(fixture.released, std::vector<std::string>{"a"});
    EXPECT_TRUE(fixture.owner.released());
}

claim_candidate candidate(const std::string& host, bool home, std::uint64_t base,
                          std::uint64_t epoch = 0)
{
    claim_candidate one;
    one.host = host;
    one.home = home;
    one.can_claim = true;
    one.fence_base = base;
    one.epoch = epoch;
    one.owned = epoch > 0 ? 1 : 0;
    one.processor_milli = 250;
    return one;
}

// Guards against two hosts that claim a domain at once, and against a domain that nobody claims.
TEST(claim_policy, home_host_that_started_first_claims_first)
{
    const std::vector<claim_candidate> hosts{candidate("a", true, 9), candidate("b", true, 3),
                                             candidate("c", false, 1)};
    claim_policy a{"a", start};
    claim_policy b{"b", start};
    claim_policy c{"c", start};
    EXPECT_EQ(b.decide({"d", 0, 1}, hosts, start), claim_action::none);
    const auto settled = start + claim_policy::settle_time;
    EXPECT_EQ(b.decide({"d", 0, 1}, hosts, settled), claim_action::claim);
    EXPECT_EQ(a.decide({"d", 0, 1}, hosts, settled), claim_action::none);
    EXPECT_EQ(c.decide({"d", 0, 1}, hosts, settled), claim_action::none);
    EXPECT_EQ(a.decide({"d", 0, 1}, hosts, settled + claim_policy::rank_delay),
              claim_action::claim);
    EXPECT_EQ(c.decide({"d", 0, 1}, hosts, settled + claim_policy::rank_delay), claim_action::none);
}

// Guards against a remote owner that keeps a domain which one of its own hosts has claimed.
TEST(claim_policy, remote_owner_yields_to_a_home_host)
{
    const std::vector<claim_candidate> hosts{candidate("a", true, 9, 20),
                                             candidate("c", false, 1, 40)};
    claim_policy a{"a", start};
    claim_policy c{"c", start};
    EXPECT_EQ(c.decide({"d", 0, 1}, hosts, start + seconds{2}), claim_action::yield);
    EXPECT_EQ(a.decide({"d", 0, 1}, hosts, start + seconds{2}), claim_action::none);
}

// Guards against a host with little processor time that claims what a larger one should own, and
// against one host that claims every shard.
TEST(claim_policy, shards_go_to_hosts_with_processor_time_for_them)
{
    auto small = candidate("a", true, 1);
    small.processor_milli = 90;
    auto busy = candidate("b", true, 2);
    busy.processor_milli = 500;
    busy.owned = 2;
    auto middle = candidate("c", true, 3);
    middle.processor_milli = 300;
    const std::vector<claim_candidate> hosts{small, busy, middle};
    const wire::shard shard{"d", 3, 4};
    claim_policy a{"a", start};
    claim_policy b{"b", start};
    claim_policy c{"c", start};
    const auto settled = start + claim_policy::settle_time;
    EXPECT_EQ(c.decide(shard, hosts, settled), claim_action::claim);
    EXPECT_EQ(a.decide(shard, hosts, settled), claim_action::none);
    EXPECT_EQ(b.decide(shard, hosts, settled), claim_action::none);
}

// Guards against shards that stay with a small host when a larger one is back, and against two
// equal hosts that hand a shard back and forth.
TEST(claim_policy, owner_offers_a_shard_only_to_a_much_larger_host)
{
    auto owner = candidate("a", true, 1, 20);
    auto other = candidate("b", true, 2);
    const claim_policy a{"a", start};
    EXPECT_FALSE(a.should_offer({owner, other}));
    other.processor_milli = 500;
    EXPECT_TRUE(a.should_offer({owner, other}));
    other.can_claim = false;
    EXPECT_FALSE(a.should_offer({owner, other}));
    other.can_claim = true;
    other.home = false;
    EXPECT_FALSE(a.should_offer({owner, other}));
}

std::vector<worker_entry> workers_of(const std::string& domain, std::size_t number)
{
    std::vector<worker_entry> all;
    for (std::size_t i = 0; i < number; ++i) {
        all.push_back(worker("w-" + std::to_string(i), 64000));
        all.back().domain = domain;
    }
    return all;
}

// Guards against hosts that permanently disagree on the shards of a domain, and against a number of
// shards that changes whenever workers come and go.
TEST(shard_plan, number_of_shards_only_grows_and_is_agreed_on)
{
    shard_plan one;
    shard_plan other;
    one.observe(workers_of("d", 39));
    EXPECT_EQ(one.count("d"), 1U);
    one.observe(workers_of("d", 100));
    EXPECT_EQ(one.count("d"), 5U);
    one.observe(workers_of("d", 120));
    EXPECT_EQ(one.count("d"), 5U);
    one.observe(workers_of("d", 10));
    EXPECT_EQ(one.count("d"), 5U);
    other.observe(workers_of("d", 10));
    for (const auto& told : one.all())
        other.merge(told);
    EXPECT_EQ(other.shards_of("d"), one.shards_of("d"));
}

// Guards against a worker that belongs to no shard or to several.
TEST(shard_plan, every_worker_is_in_one_shard)
{
    shard_plan plan;
    const auto workers = workers_of("d", 100);
    plan.observe(workers);
    for (const auto& entry : workers) {
        const auto shards = plan.shards_of("d");
        EXPECT_EQ(std::count_if(shards.begin(), shards.end(),
                                [&](const wire::shard& one) { return contains(one, entry); }),
                  1)
            << entry.id;
    }
}

class no_peers final : public peer_port {
public:
    void send(const std::string& /*host*/, const wire::message& /*message*/) override {}
    void drop(const std::string& /*host*/) override {}
};

class no_callers final : public caller_port {
public:
    void answer(std::uint64_t /*request*/, job_answer /*answer*/, duration /*after*/) override {}
    std::size_t report_departures() override { return 0; }
};

/// A router whose owners the test chooses; records what it sends.
struct router_fixture {
    static owner_view view(const std::string& host, std::uint64_t epoch)
    {
        owner_view one;
        one.shard = {"d", 0, 1};
        one.host = host;
        one.incarnation = 7;
        one.epoch = epoch;
        one.takeover_complete = true;
        one.workers = std::make_shared<const worker_list>(worker_list{epoch, {"a"}});
        return one;
    }

    no_callers callers;
    metrics::registry metrics;
    request_log log;
    std::vector<owner_view> owners;
    std::vector<std::string> orders_to; ///< host of each order that was sent
    job_router router{"d",
                      callers,
                      metrics,
                      log,
                      [this](time_point) { return owners; },
                      [this](const std::string& host, const wire::message& message, time_point) {
                          if (std::holds_alternative<wire::job_order>(message))
                              orders_to.push_back(host);
                      },
                      1};
};

// Guards against two runs of a task: an owner that is alive has abandoned the job, and the loss of
// its link afterwards let a complete takeover end the wait for the tasks that it had started.
TEST(job_router, takeover_does_not_end_the_wait_for_an_owner_that_abandoned_the_job)
{
    router_fixture fixture;
    auto& router = fixture.router;
    fixture.owners = {router_fixture::view("x", 1)};
    wire::job_order order;
    order.job = "j";
    order.remaining_ms = 10000;
    order.steps = {step(1, 1000)};
    router.submit(1, order, start);
    fixture.owners.clear();
    router.result("x", {"j", order.attempt, wire::job_end::abandoned, 0}, start);
    router.host_reconnected("x", 7, start + milliseconds{10});
    ASSERT_EQ(fixture.orders_to, (std::vector<std::string>{"x", "x"}));
    router.host_lost("x", start + milliseconds{20});
    fixture.owners = {router_fixture::view("y", 2)};
    router.tick(start + milliseconds{40});
    EXPECT_EQ(fixture.orders_to.size(), 2U) << "tasks of the abandoned job may still run";
    router.tick(start + seconds{4});
    ASSERT_EQ(fixture.orders_to.size(), 3U);
    EXPECT_EQ(fixture.orders_to.back(), "y");
}

// Guards against two runs of a task: a result that has arrived during a pause of the process has
// the job sent again, before the ends of the callers' connections are read. The job must go on for
// a caller who has stayed.
TEST(job_router, nothing_is_sent_between_a_pause_and_the_next_tick)
{
    for (const auto end :
         {wire::job_end::interrupted, wire::job_end::overloaded, wire::job_end::stale}) {
        router_fixture fixture;
        auto& router = fixture.router;
        fixture.owners = {router_fixture::view("x", 1), router_fixture::view("y", 2)};
        fixture.owners.back().shard.domain = "e";
        wire::job_order order;
        order.remaining_ms = 10000;
        order.target_ms = 10000;
        order.steps = {step(1, 1000)};
        for (const auto* job : {"left", "stayed"}) {
            order.job = job;
            router.submit(order.job == "left" ? 1 : 2, order, start);
        }
        router.submit(3, order, start); // a second caller of "stayed"
        router.tick(start);
        ASSERT_EQ(fixture.orders_to.size(), 2U);
        const auto woken = start + seconds{3};
        router.result(fixture.orders_to[0], {"left", order.attempt, end, 100}, woken);
        router.result(fixture.orders_to[1], {"stayed", order.attempt, end, 100}, woken);
        EXPECT_EQ(fixture.orders_to.size(), 2U) << to_name(end);
        EXPECT_EQ(router.jobs(), 2U) << to_name(end);
        router.caller_left(1, woken);
        router.caller_left(2, woken);
        router.tick(woken);
        EXPECT_EQ(fixture.orders_to.size(), 3U) << to_name(end);
        EXPECT_FALSE(router.knows("left"));
        EXPECT_TRUE(router.knows("stayed"));
    }
}

/// The only host of its domain, without other hosts and callers.
struct host_fixture {
    explicit host_fixture(fleet_host::config_decoder decode)
        : host{{"a", "d", "10.0.0.1:1", 1, 250},
               {"d"},
               workers,
               peers,
               callers,
               metrics,
               std::move(decode),
               start}
    {
    }

    recorded_worker_port workers;
    no_peers peers;
    no_callers callers;
    metrics::registry metrics;
    fleet_host host;
};

// Guards against an entry of another writer whose failure domain no host has: if hosts reported it,
// a long name would make every frame unreadable, and all links between hosts would be closed.
TEST(fleet_host, worker_of_an_unknown_domain_is_not_used)
{
    host_fixture fixture{[](const std::string&) -> result<cluster_config, std::string> {
        return unexpected{std::string{"no configuration"}};
    }};
    auto& host = fixture.host;
    auto entries = workers_of("d", 1);
    for (int i = 0; i < 100; ++i) {
        auto odd = worker("odd-" + std::to_string(i), 1000);
        odd.domain = std::string(1000, 'x') + std::to_string(i);
        entries.push_back(odd);
    }
    for (const auto& entry : entries)
        host.worker_listed(entry);
    host.workers_complete();
    host.tick(start);
    EXPECT_EQ(host.report(start).domains, (std::vector<wire::domain_shards>{{"d", 1}}));
    wire::frame_decoder decoder;
    decoder.handshake_done();
    decoder.feed(wire::encode(host.report(start)));
    EXPECT_TRUE(decoder.next());
}

// Guards against rejections that are not counted: on-call engineers could not tell a host without a
// configuration from one that gets no requests.
TEST(fleet_host, refusals_before_a_job_is_taken_are_counted)
{
    host_fixture fixture{[](const std::string& record) -> result<cluster_config, std::string> {
        cluster_config config;
        config.version = 1;
        config.record = record;
        config.queues = {{"q", "h", "/q/", "s"}};
        config.queues[0].needs_advice = true;
        return config;
    }};
    auto& host = fixture.host;
    const auto refusals = [&](rejection reason) {
        return fixture.metrics.counter("chivewharf_rejections_total",
                                       "reason=\"" + std::string{to_name(reason)} + '"');
    };
    EXPECT_EQ(host.find_queue("h", "/q/j", start).error(), rejection::no_config);
    EXPECT_EQ(refusals(rejection::no_config), 1U);
    host.config_read("one", start);
    EXPECT_EQ(host.find_queue("h", "/other/j", start).error(), rejection::unknown_queue);
    EXPECT_EQ(refusals(rejection::unknown_queue), 1U);
    const auto queue = host.find_queue("h", "/q/j", start);
    ASSERT_TRUE(queue);
    EXPECT_EQ(host.submit(1, **queue, {}, seconds{1}, start), rejection::unsupported);
    EXPECT_EQ(refusals(rejection::unsupported), 1U);
}

// Guards against a reader that restarts from a snapshot and keeps a key that is missing from it:
// the store may have deleted both the key and the record of its deletion.
TEST(topic_follower, restart_reports_vanished_keys)
{
    std::vector<std::string> changes;
    topic_follower follower{[&changes](const keyed_record& record) {
        changes.push_back(record.key + (record.value ? "=" + *record.value : " gone"));
    }};
    follower.on_page({{"a", "1", 0}, {"b", "1", 1}}, false, 2);
    EXPECT_EQ(follower.next().offset, 2U);
    follower.on_records({{"a", "2", 2}});
    EXPECT_EQ(follower.next().offset, 3U);
    follower.restart();
    EXPECT_TRUE(follower.next().newest);
    follower.on_page({{"a", "2", 2}}, false, 9);
    EXPECT_EQ(changes, (std::vector<std::string>{"a=1", "b=1", "a=2", "b gone"}));
    EXPECT_EQ(follower.next().offset, 9U);
}

// Guards against treating workers as gone because their entries expired during a store outage.
TEST(worker_directory, nothing_is_removed_while_the_store_is_away)
{
    worker_directory directory;
    directory.put(worker("a", 1));
    EXPECT_TRUE(directory.refresh(start));
    directory.store_answered(false, start);
    directory.remove("a", start);
    EXPECT_FALSE(directory.refresh(start + seconds{60}));
    directory.store_answered(true, start + seconds{60});
    EXPECT_FALSE(directory.refresh(start + seconds{62}));
    EXPECT_TRUE(directory.refresh(start + seconds{63}));
    EXPECT_TRUE(directory.list().empty());
}

// Guards against a lease that counts as expired although a slow worker clock has not reached its
// end.
TEST(worker_clock, lease_expiry_allows_for_a_slow_clock)
{
    worker_clock clock;
    clock.observe(5000, start);
    EXPECT_GE(clock.certainly_past(5980), start + seconds{1});
    EXPECT_LE(clock.estimate(start + seconds{1}), 6000);
    clock.observe(4000, start - seconds{1});
    EXPECT_GE(clock.estimate(start), 5000);
}

// Guards against unbounded log output during a burst, and against a request of which only some
// lines are logged.
TEST(request_log, burst_is_bounded_and_requests_stay_whole)
{
    request_log log;
    std::uint32_t written = 0;
    for (std::uint32_t i = 0; i < 5000; ++i)
        written += log.should_log("job-" + std::to_string(i), start) ? 1 : 0;
    EXPECT_LE(written, 2 * request_log::lines_per_second);
    EXPECT_EQ(log.dropped(), 5000U - written);
    for (int second = 1; second < 4; ++second) {
        for (std::uint32_t i = 0; i < 300; ++i) {
            const auto job = "job-" + std::to_string(i);
            const auto now = start + seconds{second};
            EXPECT_EQ(log.should_log(job, now), log.should_log(job, now)) << job;
        }
    }
}

} // namespace
} // namespace chivewharf::fleet
