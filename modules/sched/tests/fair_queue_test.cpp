#include "simulation.h"

#include <cmath>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace chivewharf::sched {
namespace {

struct profile {
    double weight;
    double mean_seconds;
    double error; // declared run time / true run time
};

std::vector<profile> random_profiles(rng& random, std::size_t n)
{
    std::vector<profile> list;
    for (std::size_t i = 0; i < n; ++i)
        list.push_back({1 + 3 * uniform(random), 0.05 + 0.5 * uniform(random),
                        std::pow(10.0, 2 * uniform(random) - 1)});
    return list;
}

// Guards against shares that depend on declared run times or numbers of tasks instead of the slot
// time that was used.
RC_GTEST_PROP(fair_queue_share, backlogged_customers_get_their_weighted_share, ())
{
    const auto customers = *rc::gen::inRange<customer_id>(2, 9);
    rng random{*rc::gen::arbitrary<std::uint64_t>()};
    const auto profiles = random_profiles(random, customers);
    const std::uint32_t slots = 20 * customers;
    simulation sim{slots};
    run_time_estimator estimator;
    double weights = 0;
    for (customer_id c = 0; c < customers; ++c) {
        RC_ASSERT(sim.queue.set_customer(c, {.weight = profiles[c].weight}).has_value());
        weights += profiles[c].weight;
    }
    const auto estimate = [&](customer_id c) {
        const auto declared = from_seconds(profiles[c].mean_seconds * profiles[c].error);
        return estimator.expected("s", std::to_string(c), declared);
    };
    sim.estimate = [&](const task_pick& p) { return estimate(p.customer); };
    sim.run_time = [&](const task_pick& p) {
        return from_seconds(profiles[p.customer].mean_seconds * (0.5 + uniform(random)));
    };
    sim.on_end = [&](const simulation::run& done) {
        estimator.observe("s", std::to_string(done.pick.customer), done.end - done.begin, 1);
    };
    while (sim.now < start_time + seconds{10}) {
        for (customer_id c = 0; c < customers; ++c) {
            while (sim.queue.load(c).queued_tasks < slots)
                sim.add(c, 20, estimate(c));
        }
        sim.fill();
        RC_ASSERT(sim.free == 0U);
        sim.step();
    }
    const double total = to_seconds(sim.now - start_time) * slots;
    for (customer_id c = 0; c < customers; ++c) {
        const double share = sim.usage(c) / total;
        const double wanted = profiles[c].weight / weights;
        RC_LOG() << "customer " << c << " share " << share << " wanted " << wanted << " mean "
                 << profiles[c].mean_seconds << " error " << profiles[c].error << '\n';
        RC_ASSERT(std::abs(share - wanted) <= 0.05 * wanted);
    }
}

/// Applies random events to a queue and checks after each event that no task was lost, started
/// twice or started beyond a limit.
class model {
public:
    explicit model(std::uint64_t seed) : random_{seed}
    {
        for (customer_id c = 0; c < customers; ++c)
            configure(c);
    }

    void run(int events)
    {
        using event = void (model::*)();
        static constexpr event table[] = {
            &model::enqueue,         &model::start,      &model::start,
            &model::start,           &model::end,        &model::end,
            &model::put_back,        &model::remove_job, &model::reconfigure,
            &model::remove_customer, &model::wait,       &model::charge_remote};
        for (int i = 0; i < events; ++i) {
            (this->*table[random_below(std::size(table))])();
            RC_ASSERT(sim_.queue.queued_tasks() == queued_.size());
            RC_ASSERT(sim_.queue.running() == running_.size());
        }
    }

    void drain()
    {
        while (!running_.empty())
            end();
        while (!queued_.empty()) {
            if (random_below(2) == 0)
                remove_job();
            else
                remove_customer();
        }
        RC_ASSERT(sim_.queue.queued_work() == duration{0});
        RC_ASSERT(sim_.queue.running() == 0U);
        RC_ASSERT(!sim_.queue.next(sim_.now + seconds{100}));
        RC_ASSERT(!sim_.queue.wake_at());
        for (customer_id c = 0; c < customers; ++c)
            RC_ASSERT(sim_.shared.running(c) == 0U);
    }

private:
    static constexpr customer_id customers = 5;
    static constexpr std::uint32_t slots = 20;
    using task_key = std::pair<job_handle, std::uint32_t>;
    struct waiting {
        customer_id customer;
        time_point not_before;
    };

    std::size_t random_below(std::size_t n) { return static_cast<std::size_t>(random_() % n); }

    void configure(customer_id c)
    {
        share_policy share{1 + uniform(random_), 0.2 * uniform(random_),
                           0.1 + 0.9 * uniform(random_)};
        limit_policy limit;
        if (random_below(2) == 0)
            limit.concurrency = 1 + random_below(8);
        if (random_below(2) == 0)
            limit.rate = 1 + 20 * uniform(random_);
        limit.burst = 1 + static_cast<double>(random_below(5));
        RC_ASSERT(sim_.queue.set_customer(c, share).has_value());
        RC_ASSERT(sim_.shared.set_customer(c, limit, sim_.now).has_value());
        shares_[c] = share;
        limits_[c] = limit;
        tokens_[c].clear();
    }

    void enqueue()
    {
        const auto c = static_cast<customer_id>(random_below(customers));
        if (!shares_.contains(c))
            return;
        const auto n = 1 + random_below(6);
        for (std::uint32_t i = 0; i < n; ++i)
            queued_[{sim_.next_job, i}] = {c, sim_.now};
        sim_.add(c, n, milliseconds{1 + random_below(500)});
    }

    void start()
    {
        const auto p = sim_.queue.next(sim_.now);
        if (!p) {
            for (const auto& [key, task] : queued_)
                RC_ASSERT(task.not_before > sim_.now || is_limited(task.customer));
            return;
        }
        const auto it = queued_.find({p->job, p->task});
        RC_ASSERT(it != queued_.end());
        RC_ASSERT(it->second.customer == p->customer);
        RC_ASSERT(it->second.not_before <= sim_.now);
        RC_ASSERT(!is_limited(p->customer));
        sim_.queue.started(*p, sim_.now);
        queued_.erase(it);
        running_.push_back(*p);
        record_tokens(p->customer, 1);
    }

    bool is_limited(customer_id c) const
    {
        const auto running = static_cast<double>(
            std::ranges::count(running_, c, [](const task_pick& p) { return p.customer; }));
        const auto& share = shares_.at(c);
        const auto& limit = limits_.at(c);
        return running >= std::max(1.0, std::floor(share.max_share * slots)) ||
               (limit.concurrency && running >= *limit.concurrency) ||
               sim_.shared.check(c, sim_.now).why == reason::rate_limited;
    }

    /// Checks the token bucket over every window that ends now. A task that did not run returns its
    /// token when `put_back` is called and counts as -1 from then on.
    void record_tokens(customer_id c, int change)
    {
        auto& tokens = tokens_[c];
        tokens.emplace_back(sim_.now, change);
        const auto& limit = limits_[c];
        int taken = 0;
        for (auto it = tokens.rbegin(); limit.rate && it != tokens.rend(); ++it) {
            taken += it->second;
            RC_ASSERT(taken <= limit.burst + *limit.rate * to_seconds(sim_.now - it->first) + 1e-6);
        }
    }

    task_pick take_running()
    {
        std::swap(running_[random_below(running_.size())], running_.back());
        const auto p = running_.back();
        running_.pop_back();
        return p;
    }

    void end()
    {
        if (running_.empty())
            return;
        const auto p = take_running();
        sim_.queue.ended(p.customer, p.cost, milliseconds{random_below(1000)});
    }

    void put_back()
    {
        if (running_.empty())
            return;
        const auto p = take_running();
        const auto until = sim_.now + milliseconds{random_below(300)};
        const bool known = shares_.contains(p.customer);
        RC_ASSERT(sim_.queue.put_back(p, until) == known);
        if (known)
            queued_[{p.job, p.task}] = {p.customer, until};
        record_tokens(p.customer, -1);
    }

    void remove_job()
    {
        if (queued_.empty())
            return;
        const auto at = static_cast<std::ptrdiff_t>(random_below(queued_.size()));
        const auto job = std::next(queued_.begin(), at)->first.first;
        for (const auto& task : sim_.queue.remove_job(job))
            RC_ASSERT(queued_.erase({job, task.index}) == 1U);
        RC_ASSERT(queued_.lower_bound({job, 0}) == queued_.lower_bound({job + 1, 0}));
    }

    void reconfigure() { configure(static_cast<customer_id>(random_below(customers))); }

    void remove_customer()
    {
        const auto c = static_cast<customer_id>(random_below(customers));
        for (const auto& job : sim_.queue.remove_customer(c)) {
            for (const auto& task : job.ready)
                RC_ASSERT(queued_.erase({job.job, task.index}) == 1U);
            for (const auto& task : job.deferred)
                RC_ASSERT(queued_.erase({job.job, task.task.index}) == 1U);
        }
        for (const auto& [key, task] : queued_)
            RC_ASSERT(task.customer != c);
        sim_.shared.remove_customer(c);
        shares_.erase(c);
    }

    void wait() { sim_.now += milliseconds{random_below(200)}; }

    void charge_remote()
    {
        sim_.queue.charge_remote(static_cast<customer_id>(random_below(customers)),
                                 5 * uniform(random_));
    }

    rng random_;
    simulation sim_{slots};
    std::map<task_key, waiting> queued_;
    std::vector<task_pick> running_;
    std::map<customer_id, share_policy> shares_;
    std::map<customer_id, limit_policy> limits_;
    // Tokens taken (1) and returned (-1) since the last change of the limits.
    std::map<customer_id, std::vector<std::pair<time_point, int>>> tokens_;
};

// Guards against lost or duplicated tasks, slots left idle although a task may start, starts beyond
// a limit, and stale entries after a job or a customer was removed.
RC_GTEST_PROP(fair_queue_model, keeps_every_task_and_every_limit, (std::uint64_t seed))
{
    model m{seed};
    m.run(400);
    m.drain();
}

// Guards against a customer that is compensated with all slots for the time it was idle, and
// against starvation of a customer with a low weight.
TEST(fair_queue, a_customer_that_becomes_active_neither_catches_up_nor_starves)
{
    simulation sim{10};
    for (customer_id c = 0; c < 3; ++c)
        ASSERT_TRUE(sim.queue.set_customer(c, {.weight = c == 2 ? 0.1 : 1.0}));
    sim.add(0, 2000, milliseconds{100});
    sim.add(1, 1, milliseconds{100});
    while (sim.now < start_time + seconds{10}) {
        sim.fill();
        sim.step();
    }
    sim.add(1, 1000, milliseconds{100});
    sim.add(2, 1000, milliseconds{100});
    sim.starts.clear();
    while (sim.now < start_time + seconds{20}) {
        sim.fill();
        sim.step();
    }
    EXPECT_NEAR(static_cast<double>(sim.starts[0]), 476, 10);
    EXPECT_NEAR(static_cast<double>(sim.starts[1]), 476, 10);
    EXPECT_NEAR(static_cast<double>(sim.starts[2]), 48, 5);
}

// Guards against a minimum share without precedence and a maximum share that can be exceeded.
TEST(fair_queue, minimum_share_goes_first_and_maximum_share_caps)
{
    simulation sim{10};
    ASSERT_TRUE(sim.queue.set_customer(0, {.weight = 100, .max_share = 0.5}));
    ASSERT_TRUE(sim.queue.set_customer(1, {.weight = 1, .min_share = 0.4}));
    ASSERT_TRUE(sim.queue.set_customer(2, {.weight = 1}));
    for (customer_id c = 0; c < 3; ++c)
        sim.add(c, 20, milliseconds{100});
    sim.fill();
    EXPECT_EQ(sim.starts[0], 5U);
    EXPECT_GE(sim.starts[1], 4U);
    EXPECT_EQ(sim.free, 0U);
}

// Guards against shares that ignore usage on other hosts, and against a customer that is locked out
// for hours because of such usage: its effect is limited to 10 s.
TEST(fair_queue, remote_usage_counts_for_ten_seconds_at_most)
{
    simulation sim{10};
    for (customer_id c = 0; c < 2; ++c) {
        ASSERT_TRUE(sim.queue.set_customer(c, {}));
        sim.add(c, 2000, milliseconds{100});
    }
    sim.queue.charge_remote(0, 1e6);
    while (sim.now < start_time + seconds{4}) {
        sim.fill();
        sim.step();
    }
    EXPECT_EQ(sim.starts[0], 0U);
    while (sim.now < start_time + seconds{8}) {
        sim.fill();
        sim.step();
    }
    EXPECT_GT(sim.starts[0], 100U);
}

// Guards against a task that `next` returns before its back-off ends, and a missing wake-up time.
TEST(fair_queue, a_task_put_back_waits_for_its_time_and_its_charge_is_undone)
{
    simulation sim{10};
    ASSERT_TRUE(sim.queue.set_customer(0, {}));
    sim.add(0, 1, milliseconds{100});
    const auto first = sim.queue.next(sim.now);
    sim.queue.started(*first, sim.now);
    ASSERT_TRUE(sim.queue.put_back(*first, sim.now + milliseconds{10}));
    EXPECT_EQ(sim.queue.running(), 0U);
    EXPECT_FALSE(sim.queue.next(sim.now));
    EXPECT_EQ(sim.queue.wake_at(), sim.now + milliseconds{10});
    const auto again = sim.queue.next(sim.now + milliseconds{10});
    ASSERT_TRUE(again);
    EXPECT_EQ(again->job, first->job);
}

// Guards against a customer that remains blocked in one service after its task in another service
// has ended and it is below its concurrency limit again.
TEST(fair_queue, room_in_another_service_releases_the_customer)
{
    simulation sim{10};
    fair_queue other{sim.shared, simulation::default_order()};
    for (auto* queue : {&sim.queue, &other})
        ASSERT_TRUE(queue->set_customer(0, {}));
    ASSERT_TRUE(sim.shared.set_customer(0, {.concurrency = 1}, sim.now));
    sim.add(0, 1, milliseconds{100});
    ASSERT_TRUE(other.enqueue(0, 1, {{0, milliseconds{100}}}, sim.now));
    const auto first = sim.queue.next(sim.now);
    sim.queue.started(*first, sim.now);
    EXPECT_FALSE(other.next(sim.now));
    sim.queue.ended(0, first->cost, first->cost);
    EXPECT_TRUE(other.next(sim.now));
}

// Guards against congestion collapse: slots spent on answers that come too late, and refused work
// that is retried in bursts. The load is 3 times the capacity for 20 s; refused work is retried
// after `retry_after`.
TEST(admission_overload, three_times_the_capacity_keeps_the_slots_useful)
{
    simulation sim{20};
    rng random{20261204};
    admission admission_control;
    std::map<job_handle, time_point> deadlines;
    std::multimap<time_point, customer_id> arrivals;
    double useful = 0;
    for (customer_id c = 0; c < 4; ++c)
        ASSERT_TRUE(sim.queue.set_customer(c, {.weight = 1.0 + c}));
    for (int i = 0; i < 6000; ++i) // 0.2 s each: 60 slots for 20 s
        arrivals.emplace(start_time + from_seconds(20 * uniform(random)), i % 4);
    sim.run_time = [&](const task_pick&) { return from_seconds(0.1 + 0.2 * uniform(random)); };
    sim.on_end = [&](const simulation::run& run) {
        if (run.end <= deadlines[run.pick.job])
            useful += to_seconds(run.end - run.begin);
    };
    while (sim.now < start_time + seconds{20}) {
        while (!arrivals.empty() && arrivals.begin()->first <= sim.now) {
            const auto c = arrivals.extract(arrivals.begin()).mapped();
            const auto work = milliseconds{200};
            const auto deadline = sim.now + seconds{1};
            const auto verdict = admission_control.decide({c, 1, work, work, {}, deadline},
                                                          sim.queue, sim.shared, sim.now, random);
            if (verdict.why != reason::none) {
                arrivals.emplace(sim.now + verdict.retry_after, c);
                continue;
            }
            deadlines[sim.next_job] = deadline;
            sim.add(c, 1, work);
        }
        sim.fill();
        if (sim.running.empty())
            sim.now = arrivals.begin()->first;
        else
            sim.step();
    }
    double busy = 0;
    for (const auto& [c, s] : sim.used)
        busy += s;
    RecordProperty("goodput", std::to_string(useful / 400) + " busy " + std::to_string(busy / 400));
    EXPECT_GE(useful, 0.95 * 20 * 20);
}

std::vector<job_handle> start_order(const job_order& order)
{
    simulation sim{1, order};
    EXPECT_TRUE(sim.queue.set_customer(0, {}));
    std::vector<job_handle> jobs;
    sim.on_start = [&](const task_pick& p) { jobs.push_back(p.job); };
    sim.add(0, 3, milliseconds{300}); // job 1
    sim.fill();
    sim.now += milliseconds{1};
    sim.add(0, 2, milliseconds{400}); // job 2
    sim.now += milliseconds{1};
    sim.add(0, 1, milliseconds{50}); // job 3
    while (sim.queue.queued_tasks() > 0) {
        sim.step();
        sim.fill();
    }
    return jobs;
}

// Guards against starting many jobs without finishing any, and against a job order without effect.
TEST(job_order, started_jobs_go_first_then_the_strategy_decides)
{
    EXPECT_EQ(start_order(shortest_remaining_work{}), (std::vector<job_handle>{1, 1, 1, 3, 2, 2}));
    EXPECT_EQ(start_order(first_come{}), (std::vector<job_handle>{1, 1, 1, 2, 2, 3}));
}

// Guards against starvation of a long job by a continuous stream of short ones.
TEST(job_order, ageing_starts_a_long_job_in_bounded_time)
{
    simulation sim{1};
    ASSERT_TRUE(sim.queue.set_customer(0, {}));
    std::set<job_handle> seen;
    sim.on_start = [&](const task_pick& p) { seen.insert(p.job); };
    sim.add(0, 210, milliseconds{250}); // 52.5 slot-seconds: 13.1 s at an ageing of 4
    while (!seen.contains(1) && sim.now < start_time + seconds{100}) {
        sim.add(0, 1, milliseconds{100});
        sim.add(0, 1, milliseconds{100});
        sim.fill();
        sim.step();
    }
    // Short jobs arrive at twice the rate at which they are served, so the job waits at most
    // 13.1 s / (1 - 1/2).
    EXPECT_GT(sim.now, start_time);
    EXPECT_LT(sim.now, start_time + seconds{27});
}

// Guards against starting the longest task of a job last, which makes the job take longer.
TEST(job_order, longest_task_of_a_job_goes_first)
{
    simulation sim{1};
    ASSERT_TRUE(sim.queue.set_customer(0, {}));
    ASSERT_TRUE(sim.queue.enqueue(
        0, 7, {{0, milliseconds{10}}, {1, milliseconds{30}}, {2, milliseconds{20}}}, sim.now));
    EXPECT_EQ(sim.queue.next(sim.now)->task, 1U);
}

} // namespace
} // namespace chivewharf::sched
