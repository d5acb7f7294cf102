#include <upstream/upstream.h>

#include <algorithm>
#include <cmath>
#include <gtest/gtest.h>
#include <map>
#include <queue>
#include <rapidcheck/gtest.h>

namespace chivewharf::upstream {
namespace {

const std::string service = "plugdesk";
constexpr duration run_time = milliseconds{100};

worker_config worker(int number, std::uint32_t slots = 8)
{
    const auto name = "w" + std::to_string(number);
    return {name, name + ":1", service, slots, 60};
}

/// Runs tasks on a pool in virtual time. Each worker has a configurable outcome and run time.
class simulation {
public:
    struct behaviour {
        task_outcome outcome = task_outcome::ok;
        duration time = run_time;
    };

    explicit simulation(int worker_count, const pool_options& options = {}) : pool(options)
    {
        for (int i = 0; i < worker_count; ++i)
            ids.push_back(*pool.put(worker(i)));
        sent.resize(ids.size());
    }

    void run_tasks(int tasks, int load)
    {
        while (tasks > 0 || !running.empty()) {
            while (tasks > 0 && static_cast<int>(running.size()) < load && start())
                --tasks;
            if (running.empty()) {
                now += milliseconds{5};
                continue;
            }
            const auto [end, id, started] = running.top();
            running.pop();
            now = end;
            pool.task_ended(id, now, workers[id].outcome, now - started, run_time);
        }
    }

    bool start()
    {
        const auto id = pool.choose(now, service, run_time, now + seconds{2}, random);
        if (!id)
            return false;
        pool.task_started(*id);
        if (pool.counters().ejections + pool.counters().refusals > 0)
            ++sent[*id];
        running.emplace(now + workers[*id].time, *id, now);
        return true;
    }

    worker_pool pool;
    std::vector<worker_id> ids;
    std::map<worker_id, behaviour> workers;
    std::vector<int> sent; // after the first ejection or refusal
    time_point now{seconds{100}};
    rng random{20261204};
    using task = std::tuple<time_point, worker_id, time_point>;
    std::priority_queue<task, std::vector<task>, std::greater<>> running;
};

// Guards against a tree that loses an entry or keeps an outdated rank.
RC_GTEST_PROP(winner_tree, best_is_the_smallest_rank, ())
{
    winner_tree tree;
    std::map<std::uint32_t, std::uint64_t> model;
    const auto sets =
        *rc::gen::container<std::vector<std::pair<std::uint32_t, std::uint64_t>>>(rc::gen::pair(
            rc::gen::inRange(0U, 70U), rc::gen::oneOf(rc::gen::inRange<std::uint64_t>(0, 50),
                                                      rc::gen::just(winner_tree::absent))));
    for (const auto& [entry, rank] : sets) {
        tree.set(entry, rank);
        model[entry] = rank;
        auto min_rank = winner_tree::absent;
        for (const auto& [e, r] : model)
            min_rank = std::min(min_rank, r);
        RC_ASSERT(tree.best_rank() == min_rank);
        RC_ASSERT(tree.best().has_value() == (min_rank != winner_tree::absent));
        if (tree.best())
            RC_ASSERT(model[*tree.best()] == min_rank);
    }
}

/// Applies random events to a pool and checks its totals against the state of each worker.
class pool_model {
public:
    explicit pool_model(std::uint64_t seed) : random_(seed)
    {
        for (int i = 0; i < 10; ++i)
            static_cast<void>(pool_.put(worker(i, 1 + random_below(8))));
    }

    void step()
    {
        static constexpr void (pool_model::*events[])() = {
            &pool_model::start, &pool_model::start,  &pool_model::start, &pool_model::start,
            &pool_model::end,   &pool_model::end,    &pool_model::end,   &pool_model::change,
            &pool_model::drain, &pool_model::header, &pool_model::list,  &pool_model::wait};
        (this->*events[random_below(std::size(events))])();
        check_totals();
    }

private:
    std::uint32_t random_below(std::size_t n) { return static_cast<std::uint32_t>(random_() % n); }
    std::string random_name() { return worker(static_cast<int>(random_below(10))).name; }

    void start()
    {
        const auto id = pool_.choose(now_, service, run_time, now_ + seconds{1}, random_);
        if (!id)
            return;
        const auto& config = pool_.config(*id);
        const auto state = pool_.state(*id);
        RC_ASSERT(state == worker_state::usable || state == worker_state::suspect ||
                  state == worker_state::probing);
        pool_.task_started(*id);
        RC_ASSERT(pool_.running(*id) <= std::min(config.slots, config.connections));
        started_.push_back(*id);
    }

    void end()
    {
        if (started_.empty())
            return;
        const auto n = random_below(started_.size());
        const auto id = started_[n];
        started_.erase(started_.begin() + n);
        auto outcome = static_cast<task_outcome>(random_below(enum_count<task_outcome>));
        if (id % 2 == 0 && random_below(3) > 0)
            outcome = task_outcome::ok;
        pool_.task_ended(id, now_, outcome, run_time, run_time);
    }

    void change()
    {
        auto config = worker(static_cast<int>(random_below(10)), 1 + random_below(8));
        config.connections = 1 + random_below(8);
        if (random_below(3) == 0)
            static_cast<void>(pool_.remove(config.name));
        else
            RC_ASSERT(pool_.put(config).has_value());
    }

    void drain() { static_cast<void>(pool_.set_drained(random_name(), random_below(3) == 0)); }

    void header()
    {
        if (const auto id = pool_.find(random_name()); id && random_below(4) == 0)
            pool_.header_leaving(*id, now_);
    }

    void list()
    {
        pool_.apply_list(now_, {now_ - milliseconds{random_below(40000)},
                                {{random_name(), random_below(3) == 0}, {random_name(), false}}});
    }

    void wait() { now_ += milliseconds{random_below(2000)}; }

    void check_totals()
    {
        const auto capacity = pool_.capacity(service);
        std::uint32_t workers = 0;
        std::uint32_t free = 0;
        double total = 0;
        for (const auto id : pool_.workers()) {
            if (pool_.state(id) < worker_state::leaving)
                ++workers;
            const auto usable = pool_.usable_slots(id);
            free += usable - std::min(usable, pool_.running(id));
            total += usable * pool_.speed(id);
        }
        RC_ASSERT(capacity.workers == workers);
        RC_ASSERT(capacity.free_slots == free);
        RC_ASSERT(std::abs(capacity.total - total) < 1e-6);
        RC_ASSERT(capacity.ejected * 10 <= capacity.workers * 3);
    }

    rng random_;
    worker_pool pool_;
    time_point now_{seconds{100}};
    std::vector<worker_id> started_;
};

// Guards, for any order of events, against overcommitted workers, tasks for a leaving, drained,
// ejected or removed worker, ejections above the ceiling, and totals that drift from the sum over
// the workers.
RC_GTEST_PROP(worker_pool, any_interleaving_keeps_the_limits, ())
{
    pool_model model{*rc::gen::arbitrary<std::uint64_t>()};
    for (int i = 0; i < 600; ++i)
        model.step();
}

// Guards against a stale or empty platform list that takes all workers out of service.
RC_GTEST_PROP(worker_pool, stale_or_empty_list_never_empties_the_pool, ())
{
    worker_pool pool;
    const time_point now{seconds{1000}};
    platform_list live{now, {}};
    platform_list leaving{now, {}};
    for (int i = 0; i < 5; ++i) {
        static_cast<void>(pool.put(worker(i)));
        live.workers.push_back({worker(i).name, false});
        leaving.workers.push_back({worker(i).name, true});
    }
    RC_ASSERT(pool.apply_list(now, live));
    const auto later = now + seconds{*rc::gen::inRange(0, 10000)};
    leaving.as_of = std::min(now, later - seconds{*rc::gen::inRange(31, 20000)});
    RC_ASSERT(!pool.apply_list(later, leaving));
    RC_ASSERT(!pool.apply_list(later, {later, {}}));
    RC_ASSERT(pool.capacity(service).workers == 5U);
}

// Guards against a worker that fails or refuses every task immediately and attracts more tasks
// because it looks fast and free, and against one that is not used again after it recovered.
TEST(worker_pool, workers_that_fail_at_once_get_under_one_percent_and_re_enter)
{
    for (const auto outcome :
         {task_outcome::failed, task_outcome::connect_failed, task_outcome::refused_not_run}) {
        simulation sim{50};
        for (const auto bad : {7U, 30U})
            sim.workers[sim.ids[bad]] = {outcome, milliseconds{1}};
        sim.run_tasks(100000, 340); // 30 s: long enough for probes
        EXPECT_LT(sim.sent[7] + sim.sent[30], 100) << to_name(outcome);
        sim.workers.clear();
        sim.now += seconds{61};
        sim.run_tasks(10000, 340);
        for (const auto bad : {7U, 30U}) {
            EXPECT_EQ(sim.pool.state(sim.ids[bad]), worker_state::usable) << to_name(outcome);
            EXPECT_EQ(sim.pool.usable_slots(sim.ids[bad]), 8U) << to_name(outcome);
        }
    }
}

// Guards against slots that are restored all at once after an ejection, and against ejections whose
// duration does not double up to the maximum.
TEST(worker_pool, re_entry_restores_one_slot_for_two_successes)
{
    simulation sim{4};
    const auto bad = sim.ids[0];
    const auto end = [&](task_outcome outcome) {
        sim.pool.task_started(bad);
        sim.pool.task_ended(bad, sim.now, outcome, run_time, run_time);
    };
    for (int i = 0; i < 3; ++i)
        end(task_outcome::failed);
    for (const auto wait : {seconds{5}, seconds{10}, seconds{20}, seconds{40}, seconds{60}}) {
        EXPECT_EQ(sim.pool.state(bad), worker_state::ejected);
        sim.pool.tick(sim.now + wait - milliseconds{1});
        EXPECT_EQ(sim.pool.state(bad), worker_state::ejected);
        sim.now += wait;
        EXPECT_EQ(sim.pool.choose(sim.now, service, run_time, sim.now + seconds{1}, sim.random),
                  bad);
        end(task_outcome::failed);
    }
    sim.now += seconds{60};
    sim.pool.tick(sim.now);
    for (std::uint32_t i = 0; i < 14; ++i) {
        EXPECT_EQ(sim.pool.usable_slots(bad), 1 + i / 2);
        end(task_outcome::ok);
    }
    EXPECT_EQ(sim.pool.state(bad), worker_state::usable);
}

// Guards against ejection of the whole pool when the cause of the failures is the tasks or this
// host.
TEST(worker_pool, pool_stays_usable_when_everything_fails)
{
    simulation sim{20};
    for (const auto id : sim.ids)
        sim.workers[id] = {task_outcome::failed, milliseconds{1}};
    sim.run_tasks(5000, 100);
    const auto capacity = sim.pool.capacity(service);
    EXPECT_EQ(capacity.ejected, 6U);
    EXPECT_GE(capacity.total_slots, 14U * 8);
}

// Guards against a task sent to a straggler while another worker has a free slot.
TEST(worker_pool, straggler_is_avoided_while_another_slot_is_free)
{
    simulation sim{10};
    for (const auto id : sim.ids)
        sim.workers[id].time = run_time / 4;
    sim.workers[sim.ids[3]].time = run_time * 11 / 10;
    sim.run_tasks(4000, 80);
    // Every second task fails on the other workers, and the failure penalty makes their expected
    // finish later than that of the straggler.
    for (int i = 0; i < 10; ++i) {
        for (const auto id : sim.ids) {
            if (id == sim.ids[3])
                continue;
            sim.pool.task_started(id);
            const auto outcome = i % 2 == 0 ? task_outcome::failed : task_outcome::ok;
            sim.pool.task_ended(id, sim.now, outcome, run_time / 4, run_time);
        }
    }
    ASSERT_EQ(sim.pool.capacity(service).ejected, 0U);
    for (int i = 0; i < 9; ++i) {
        const auto id =
            sim.pool.choose(sim.now, service, run_time, sim.now + seconds{1}, sim.random);
        ASSERT_TRUE(id);
        EXPECT_NE(*id, sim.ids[3]);
        sim.pool.task_started(*id);
    }
}

// Guards against a full load on a worker whose connections went silent, and against counting a
// connection as silent when the deadline was shorter than the task.
TEST(worker_pool, two_silent_connections_mark_a_worker_suspect)
{
    pool_options options;
    options.one_slot_max_failure_share = -1; // lifts the one-slot limit after a failure
    simulation sim{10, options};
    const auto id = sim.ids[0];
    const auto silent = [&](duration waited) {
        sim.pool.task_started(id);
        sim.pool.task_ended(id, sim.now, task_outcome::silent, waited, run_time);
    };
    for (int i = 0; i < 5; ++i)
        silent(run_time / 2);
    silent(run_time * 2);
    EXPECT_EQ(sim.pool.state(id), worker_state::usable);
    silent(run_time * 2);
    EXPECT_EQ(sim.pool.state(id), worker_state::suspect);
    EXPECT_EQ(sim.pool.usable_slots(id), 1U);
    sim.pool.task_started(id);
    sim.pool.task_ended(id, sim.now, task_outcome::ok, run_time, run_time);
    EXPECT_EQ(sim.pool.usable_slots(id), 8U);
}

// Guards against a task that starts on a borrowed slot after the lease has expired, and against one
// that may run for more than `borrowed_run_limit`: the lender keeps the slot reserved for only that
// long after the lease.
TEST(worker_pool, borrowed_slot_is_used_only_within_its_lease)
{
    simulation sim{1};
    const auto lease_end = sim.now + seconds{2};
    sim.pool.set_share(sim.ids[0], 3, lease_end);
    const auto choose = [&](time_point now, duration left) {
        return sim.pool.choose(now, service, run_time, now + left, sim.random);
    };
    EXPECT_TRUE(choose(sim.now, seconds{5}));
    EXPECT_FALSE(choose(sim.now, seconds{6}));
    EXPECT_TRUE(choose(lease_end - milliseconds{1}, seconds{1}));
    EXPECT_FALSE(choose(lease_end, seconds{1}));
}

// Guards against a runner's leave notice that is never cancelled, or that is cancelled too early:
// the platform list may lag by `list_lag`, so only a list that is newer by more than that counts.
TEST(worker_pool, leave_notice_ends_with_a_newer_list)
{
    simulation sim{1};
    sim.pool.header_leaving(sim.ids[0], sim.now);
    const auto list = [&](duration age) {
        return sim.pool.apply_list(sim.now + age, {sim.now + age, {{"w0", false}}});
    };
    EXPECT_TRUE(list(seconds{9}));
    EXPECT_EQ(sim.pool.state(sim.ids[0]), worker_state::leaving);
    EXPECT_TRUE(list(seconds{11}));
    EXPECT_EQ(sim.pool.state(sim.ids[0]), worker_state::usable);
}

// Guards against a wait estimate for admission control that is zero although the pool is full, or
// positive although a slot is free.
TEST(worker_pool, time_to_free_slot_is_mean_run_time_over_busy_slots)
{
    simulation sim{2};
    EXPECT_FALSE(sim.pool.time_to_free_slot("other"));
    sim.run_tasks(100, 4);
    EXPECT_EQ(sim.pool.time_to_free_slot(service), duration::zero());
    while (sim.start()) {
    }
    EXPECT_NEAR(to_seconds(*sim.pool.time_to_free_slot(service)), 0.1 / 16, 1e-4);
}

} // namespace
} // namespace chivewharf::upstream
