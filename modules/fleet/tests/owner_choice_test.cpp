#include "fleet_simulation.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <gtest/gtest.h>
#include <numbers>
#include <queue>

namespace chivewharf::fleet {
namespace {

const time_point start{seconds{100}};

owner_view view(const std::string& domain, std::uint32_t index, std::uint64_t free_milli,
                milliseconds backlog)
{
    owner_view one;
    one.shard = {domain, index, 8};
    one.host = domain + "-" + std::to_string(index);
    one.free_milli = free_milli;
    one.backlog = backlog;
    one.reported = start;
    return one;
}

owner_view view_with_room(const std::string& domain, std::uint32_t index, std::uint32_t startable,
                          std::vector<wire::priority_wait> waits)
{
    auto one = view(domain, index, startable * std::uint64_t{8000}, milliseconds{0});
    one.room = wire::shard_room{startable, std::move(waits)};
    return one;
}

std::vector<const owner_view*> all_of(const std::vector<owner_view>& owners)
{
    std::vector<const owner_view*> all;
    all.reserve(owners.size());
    for (const auto& one : owners)
        all.push_back(&one);
    return all;
}

/// The choice of the earlier version: the least backlog with a margin for other domains, at random
/// by free processor time among equal ones.
const owner_view* former_choice(const std::vector<const owner_view*>& owners,
                                const std::string& home, rng& random)
{
    const owner_view* best = nullptr;
    duration best_cost{};
    double best_free = 0;
    for (const auto* owner : owners) {
        const duration margin = owner->shard.domain == home ? milliseconds{0} : milliseconds{20};
        const auto cost = owner->backlog + margin;
        const auto free = static_cast<double>(owner->free_milli) * (0.5 + uniform(random));
        if (best == nullptr || cost < best_cost || (cost == best_cost && free > best_free)) {
            best = owner;
            best_cost = cost;
            best_free = free;
        }
    }
    return best;
}

// Guards against a changed choice in a deployment of the earlier version, whose owners tell only
// their backlog.
TEST(owner_choice, owners_of_the_earlier_version_are_chosen_as_before)
{
    rng input{1};
    rng random{7};
    rng former_random{7};
    const sent_tasks sent;
    for (int round = 0; round < 2000; ++round) {
        std::vector<owner_view> owners;
        for (std::uint32_t i = 0; i < 1 + input() % 6; ++i)
            owners.push_back(
                view(i % 2 == 0 ? "a" : "b", i, input() % 64000, milliseconds{10 * (input() % 4)}));
        owners.front().reported -= seconds{input() % 6};
        const auto candidates = all_of(owners);
        const auto choice = choose_owner(candidates, {0, 4}, sent, "a", random, start);
        ASSERT_EQ(choice.owner, former_choice(candidates, "a", former_random)) << round;
    }
}

// Guards against a job that is judged by the wait of another priority: urgent work would flee from
// a domain in which only less urgent work waits, and remote work would count as more urgent than
// the owner treats it.
TEST(owner_choice, wait_is_that_of_the_priority_with_which_the_owner_queues_the_job)
{
    const sent_tasks sent;
    const auto owner = view_with_room("a", 0, 0, {{0, 3}, {1, 30}, {3, 300}});
    const auto wait = [&](std::uint32_t priority, const std::string& home) {
        return to_ms(estimate_owner(owner, {priority, 2}, sent, home, start).wait);
    };
    EXPECT_EQ(wait(0, "a"), 3);
    EXPECT_EQ(wait(0, "b"), 30);
    EXPECT_EQ(wait(1, "a"), 30);
    EXPECT_EQ(wait(1, "b"), 300); // 2 was not told; 3 is the next one that is not more urgent
    EXPECT_EQ(wait(3, "a"), 300);
    EXPECT_EQ(wait(5, "b"), 300);
}

// Guards against jobs that wait at home while another domain could start them, and against moves
// that gain less than they cost.
TEST(owner_choice, another_domain_is_used_if_it_starts_the_job_sooner)
{
    rng random{1};
    const auto reason = [&](owner_view home, owner_view other) {
        const std::vector<owner_view> owners{std::move(home), std::move(other)};
        return choose_owner(all_of(owners), {0, 8}, {}, "a", random, start).reason;
    };
    const auto idle = view_with_room("b", 0, 50, {{0, 0}, {1, 0}});
    EXPECT_EQ(reason(view_with_room("a", 0, 8, {{0, 0}}), idle), move_reason::none);
    EXPECT_EQ(reason(view_with_room("a", 0, 0, {{0, 6}}), idle), move_reason::wait);
    EXPECT_EQ(reason(view_with_room("a", 0, 7, {{0, 0}}), idle), move_reason::room);
    // Both lack room, and the other one is further away.
    EXPECT_EQ(reason(view_with_room("a", 0, 7, {{0, 0}}), view_with_room("b", 0, 7, {{0, 0}})),
              move_reason::none);
    // The home owner does not tell its room.
    EXPECT_EQ(reason(view("a", 0, 0, milliseconds{40}), idle), move_reason::backlog);
    EXPECT_EQ(reason(view("a", 0, 0, milliseconds{0}), idle), move_reason::none);
}

// Guards against a host that sends a whole burst to the owner with the most room in its last
// report, and against one that trusts a report for ever when later ones are lost.
TEST(owner_choice, lost_report_counts_less_what_was_sent_and_not_for_long)
{
    rng random{1};
    sent_tasks sent;
    const std::vector<owner_view> owners{view_with_room("a", 0, 40, {{0, 0}}),
                                         view_with_room("b", 0, 80, {{0, 0}, {1, 0}})};
    std::map<std::string, int> jobs;
    for (int i = 0; i < 20; ++i) {
        const auto choice =
            choose_owner(all_of(owners), {0, 8}, sent, "a", random, start + milliseconds{10 * i});
        ++jobs[choice.owner->shard.domain];
        sent.add(*choice.owner, 8);
    }
    // Five fill the home domain, eight go to the other one while it has ample room, and the rest
    // waits at home.
    EXPECT_EQ(jobs["a"], 12);
    EXPECT_EQ(jobs["b"], 8);
    const auto tells_room = [&](duration age) {
        return estimate_owner(owners[0], {0, 1}, sent, "a", start + age).tells_room;
    };
    EXPECT_TRUE(tells_room(seconds{3}));
    EXPECT_FALSE(tells_room(seconds{3} + milliseconds{1}));
}

// Guards against a record that outlives the report or the owner that it belongs to, and against
// one that grows with the number of shards ever seen.
TEST(sent_tasks, record_ends_with_the_next_report_or_owner_and_is_bounded)
{
    sent_tasks sent;
    auto owner = view_with_room("a", 0, 40, {{0, 0}});
    sent.add(owner, 8);
    sent.add(owner, 2);
    EXPECT_EQ(sent.since_report(owner), 10U);
    auto successor = owner;
    successor.host = "a-9";
    EXPECT_EQ(sent.since_report(successor), 0U);
    owner.reported += milliseconds{100};
    EXPECT_EQ(sent.since_report(owner), 0U);
    sent.add(owner, 3);
    EXPECT_EQ(sent.since_report(owner), 3U);
    for (std::uint32_t i = 1; i <= 2 * sent_tasks::max_shards; ++i) {
        auto other = view("b", i, 0, milliseconds{0});
        other.reported = start + milliseconds{100 + i};
        sent.add(other, 1);
    }
    EXPECT_EQ(sent.shards(), sent_tasks::max_shards);
}

// Guards against hosts that all choose the same owner at the same moment, since they have the same
// reports.
TEST(owner_choice, hosts_with_the_same_reports_spread_their_jobs)
{
    const auto largest_excess = [](const std::vector<owner_view>& owners, auto choose) {
        std::map<std::string, int> jobs;
        for (std::uint64_t host = 0; host < 29; ++host) {
            rng random{host};
            sent_tasks sent;
            for (int i = 0; i < 4; ++i) {
                const auto* owner = choose(owners, sent, random);
                ++jobs[owner->host];
                sent.add(*owner, 2);
            }
        }
        double total = 0;
        for (const auto& owner : owners)
            total += static_cast<double>(owner.free_milli);
        double excess = 0;
        for (const auto& owner : owners)
            excess = std::max(excess, jobs[owner.host] /
                                          (4 * 29 * static_cast<double>(owner.free_milli) / total));
        return excess;
    };
    const auto present = [](const auto& owners, const sent_tasks& sent, rng& random) {
        return choose_owner(all_of(owners), {0, 2}, sent, "a", random, start).owner;
    };
    const auto former = [](const auto& owners, const sent_tasks&, rng& random) {
        return former_choice(all_of(owners), "a", random);
    };
    // Owners with free workers of different numbers.
    const std::vector<owner_view> free{view_with_room("a", 0, 90, {{0, 0}}),
                                       view_with_room("a", 1, 60, {{0, 0}}),
                                       view_with_room("a", 2, 30, {{0, 0}})};
    EXPECT_LT(largest_excess(free, present), 1.25);
    EXPECT_GT(largest_excess(free, former), 1.5);
    // Owners with queues of about the same length.
    auto busy = free;
    for (std::uint32_t i = 0; i < busy.size(); ++i) {
        busy[i].free_milli = 4000;
        busy[i].backlog = milliseconds{40 + i};
        busy[i].room = wire::shard_room{0, {{0, 40 + i}}};
    }
    EXPECT_LT(largest_excess(busy, present), 1.25);
    EXPECT_GT(largest_excess(busy, former), 2.9);
}

/// A router whose owners and messages the test controls.
struct router_fixture final : public caller_port {
    struct answer_record {
        job_answer answer;
        std::int64_t retry_ms;
        bool operator==(const answer_record&) const = default;
    };

    router_fixture()
        : router{"a",
                 *this,
                 metrics,
                 log,
                 [this](time_point) {
                     ++owner_queries;
                     return owners;
                 },
                 [this](const std::string& host, const wire::message& message, time_point) {
                     if (std::holds_alternative<wire::job_order>(message))
                         asked.push_back(host);
                 },
                 1}
    {
    }

    std::size_t report_departures() override { return 0; }
    void answer(std::uint64_t /*request*/, job_answer answer, duration retry_after) override
    {
        answers.push_back({answer, to_ms(retry_after)});
    }

    /// A job whose latest start is 100 ms after its arrival.
    void submit(const std::string& id, std::uint32_t tasks = 2)
    {
        wire::job_order order;
        order.job = id;
        order.stretch = 2;
        order.target_ms = 40;
        order.remaining_ms = 1500;
        order.steps.emplace_back();
        order.steps.back().count = tasks;
        order.steps.back().estimate_ms = 60;
        router.submit(++requests, order, start);
    }

    /// The owner that was asked last answers the job.
    void answer_job(const std::string& id, wire::job_end end, std::uint32_t retry_ms,
                    duration after = milliseconds{5})
    {
        const auto host = asked.back();
        router.result(host, {id, 1, end, retry_ms}, start + after);
    }

    metrics::registry metrics;
    request_log log;
    std::vector<owner_view> owners;
    std::vector<std::string> asked;
    std::vector<answer_record> answers;
    std::uint64_t requests = 0;
    int owner_queries = 0;
    job_router router;
};

using answers_t = std::vector<router_fixture::answer_record>;
using hosts_t = std::vector<std::string>;

// Guards against a job that fails, or waits, because its order came to the owner too late.
TEST(job_router, order_that_was_refused_as_stale_is_sent_again_at_once)
{
    router_fixture fixture;
    fixture.owners = {view_with_room("a", 0, 0, {{0, 20}})};
    fixture.submit("j");
    fixture.answer_job("j", wire::job_end::stale, 0);
    EXPECT_EQ(fixture.asked, (hosts_t{"a-0", "a-0"}));
    EXPECT_TRUE(fixture.answers.empty());
    fixture.answer_job("j", wire::job_end::completed, 0);
    EXPECT_EQ(fixture.answers, (answers_t{{job_answer::completed, 0}}));
}

// Guards against refused jobs that are passed from one full owner to the next, while their callers
// wait.
TEST(job_router, refused_job_goes_only_to_owners_that_can_start_it_in_time)
{
    router_fixture fixture;
    fixture.owners = {view_with_room("a", 0, 0, {{0, 20}}),
                      view_with_room("b", 0, 0, {{0, 0}, {1, 90}}),
                      view_with_room("c", 0, 0, {{0, 0}, {1, 99}})};
    fixture.submit("j");
    fixture.answer_job("j", wire::job_end::overloaded, 700);
    // The owner in b is 90 ms, that in c 99 ms and the way from the latest start.
    EXPECT_EQ(fixture.asked, (hosts_t{"a-0", "b-0"}));
    fixture.answer_job("j", wire::job_end::overloaded, 900);
    EXPECT_EQ(fixture.asked.size(), 2U);
    EXPECT_EQ(fixture.answers, (answers_t{{job_answer::not_run, 700}}));
    EXPECT_EQ(fixture.router.jobs(), 0U);
    EXPECT_EQ(
        fixture.metrics.counter("chivewharf_jobs_to_other_domains_total", "reason=\"refused\""),
        1U);
}

// Guards against a caller who is refused while an owner has room, or may have it, and against a
// fourth owner.
TEST(job_router, refused_job_goes_to_owners_with_room_and_to_those_that_tell_nothing)
{
    router_fixture fixture;
    fixture.owners = {view_with_room("a", 0, 8, {{0, 0}}), view_with_room("a", 1, 8, {{0, 500}}),
                      view("b", 0, 0, milliseconds{800}), view("c", 0, 0, milliseconds{900})};
    fixture.submit("j");
    fixture.answer_job("j", wire::job_end::overloaded, 700);
    fixture.answer_job("j", wire::job_end::overloaded, 300);
    EXPECT_EQ(fixture.asked, (hosts_t{"a-0", "a-1", "b-0"}));
    EXPECT_TRUE(fixture.answers.empty());
    fixture.answer_job("j", wire::job_end::overloaded, 800);
    EXPECT_EQ(fixture.asked.size(), 3U);
    EXPECT_EQ(fixture.answers, (answers_t{{job_answer::not_run, 300}}));
}

// Guards against a refusal for another reason that is taken for a lack of resources.
TEST(job_router, job_that_no_worker_of_a_shard_can_run_is_offered_to_a_busy_one)
{
    router_fixture fixture;
    fixture.owners = {view_with_room("a", 0, 8, {{0, 0}}), view_with_room("a", 1, 0, {{0, 500}})};
    fixture.submit("j");
    fixture.answer_job("j", wire::job_end::impossible, 500);
    EXPECT_EQ(fixture.asked, (hosts_t{"a-0", "a-1"}));
}

// Guards against a refused job that is held until its latest start because the owner that it was
// passed on to has lost its claim.
TEST(job_router, refused_job_is_not_held_if_no_owner_can_take_it)
{
    router_fixture fixture;
    fixture.owners = {view_with_room("a", 0, 0, {{0, 10}}), view_with_room("a", 1, 0, {{0, 30}})};
    fixture.submit("j");
    fixture.answer_job("j", wire::job_end::overloaded, 250);
    fixture.answer_job("j", wire::job_end::not_owner, 500);
    EXPECT_TRUE(fixture.answers.empty());
    fixture.owners.pop_back();
    fixture.router.tick(start + milliseconds{20});
    EXPECT_EQ(fixture.answers, (answers_t{{job_answer::not_run, 250}}));
}

// Guards against work for each waiting job and tick that grows with the number of owners, and
// against a job that is refused before an owner may have returned.
TEST(job_router, jobs_without_an_owner_wait_and_share_a_query)
{
    router_fixture fixture;
    for (int i = 0; i < 50; ++i)
        fixture.submit("j" + std::to_string(i));
    fixture.owner_queries = 0;
    fixture.router.tick(start + milliseconds{20});
    EXPECT_EQ(fixture.owner_queries, 1);
    EXPECT_TRUE(fixture.answers.empty());
    fixture.owners = {view_with_room("a", 0, 40, {{0, 0}}), view_with_room("b", 0, 40, {{1, 0}})};
    fixture.router.tick(start + milliseconds{40});
    EXPECT_EQ(fixture.asked.size(), 50U);
    // The other domain gets jobs while it has ample room; the others wait in the home domain.
    EXPECT_EQ(std::count(fixture.asked.begin(), fixture.asked.end(), "b-0"), 18);
}

/// A kind of jobs in the simulated load.
struct job_kind {
    std::uint32_t priority;
    std::uint32_t tasks;
    double run_ms;
    double share; ///< of the work
};
constexpr std::array<job_kind, 2> kinds{{{0, 8, 55, 0.5}, {1, 2, 185, 0.5}}};

/// Simulates domains of shards in steps of 1 ms: owners queue by priority and admit by forecast,
/// hosts choose by reports that are up to 100 ms old.
class domain_simulation {
public:
    static constexpr std::uint32_t shards = 3; ///< of each domain
    static constexpr std::uint32_t slots = 40; ///< tasks that a shard runs at once
    static constexpr std::uint32_t hosts = 6;  ///< of each domain
    static constexpr int task_milli = 1000;    ///< processor time of a slot

    enum class strategy : std::uint8_t { at_home, former, present };

    struct totals {
        int jobs = 0;
        int in_time = 0;
        int urgent_in_time = 0; ///< of priority 0
        int refused = 0;
        int moved = 0;
        int questions = 0; ///< orders to owners

        totals& operator+=(const totals& other)
        {
            jobs += other.jobs;
            in_time += other.in_time;
            urgent_in_time += other.urgent_in_time;
            refused += other.refused;
            moved += other.moved;
            questions += other.questions;
            return *this;
        }

        std::string text() const
        {
            std::string all;
            for (const auto value : {jobs, in_time, urgent_in_time, refused, moved, questions})
                all += std::to_string(value) + " ";
            return all;
        }
    };

    /// \param loads demand of each domain in parts of its capacity, by the time in ms
    domain_simulation(strategy how, std::vector<std::function<double(int)>> loads,
                      std::uint64_t seed)
        : how_{how}, loads_{std::move(loads)},
          results_(loads_.size()), random_{seed}, arrivals_{seed + 1}
    {
        for (std::uint32_t d = 0; d < loads_.size(); ++d) {
            for (std::uint32_t i = 0; i < shards; ++i) {
                owners_.emplace_back();
                owners_.back().shard = {name(d), i, shards};
            }
            for (std::uint32_t i = 0; i < hosts; ++i)
                hosts_.push_back({d, rng{seed + std::uint64_t{100} * d + i}, {}});
        }
    }

    std::vector<totals> run(int length_ms)
    {
        for (now_ms_ = 0; now_ms_ < length_ms; ++now_ms_) {
            if (now_ms_ % 100 == 0)
                report();
            for (auto& owner : owners_)
                serve(owner);
            for (std::uint32_t d = 0; d < loads_.size(); ++d) {
                for (const auto& kind : kinds)
                    arrive(d, kind);
            }
        }
        return results_;
    }

private:
    struct waiting {
        job_kind kind;
        std::uint32_t left;
        std::uint32_t domain; ///< of the caller
        int latest_start_ms;
    };
    struct owner_state {
        wire::shard shard;
        std::priority_queue<double, std::vector<double>, std::greater<>> ends; ///< of running tasks
        std::map<std::uint32_t, std::deque<waiting>> queues;                   ///< by priority
        demand_profile profile;
    };
    struct host_state {
        std::uint32_t domain;
        rng random;
        sent_tasks sent;
    };

    static std::string name(std::uint32_t domain) { return std::to_string(domain); }
    time_point now() const { return start + milliseconds{now_ms_}; }

    static forecast_input load_of(const owner_state& owner, std::uint32_t priority, time_point now)
    {
        forecast_input load;
        load.used_milli = task_milli * static_cast<double>(owner.ends.size());
        load.usable_milli = task_milli * static_cast<double>(slots) - load.used_milli;
        for (const auto& [key, jobs] : owner.queues) {
            for (const auto& job : jobs)
                load.ahead_milli +=
                    key <= priority ? task_milli * static_cast<double>(job.left) : 0;
        }
        load.more_urgent_rate = owner.profile.more_urgent_rate(priority, now);
        load.mean_run_time = owner.profile.mean_run_time(now).value_or(milliseconds{100});
        return load;
    }

    void report()
    {
        views_.clear();
        for (const auto& owner : owners_) {
            owner_view one;
            one.shard = owner.shard;
            one.host = owner.shard.domain + "-" + std::to_string(owner.shard.index);
            one.free_milli = slots - owner.ends.size();
            one.reported = now();
            wire::shard_room room{static_cast<std::uint32_t>(one.free_milli), {}};
            for (std::uint32_t priority = 0; priority < 3; ++priority) {
                const auto wait = forecast_wait(load_of(owner, priority, now()), task_milli,
                                                job_queue::reserved_share);
                room.waits.push_back({priority, static_cast<std::uint32_t>(to_ms(*wait))});
            }
            one.backlog = milliseconds{room.waits.back().wait_ms};
            one.room = room;
            views_.push_back(std::move(one));
        }
    }

    /// Starts and ends tasks.
    void serve(owner_state& owner)
    {
        while (!owner.ends.empty() && owner.ends.top() <= now_ms_)
            owner.ends.pop();
        for (auto& [priority, jobs] : owner.queues) {
            // Jobs that have become too late are refused.
            std::erase_if(jobs, [&](const waiting& one) {
                return one.left == one.kind.tasks && one.latest_start_ms < now_ms_;
            });
            while (!jobs.empty() && owner.ends.size() < slots) {
                auto& job = jobs.front();
                const auto run_ms = job.kind.run_ms * (0.6 + 0.8 * uniform(random_));
                owner.ends.push(now_ms_ + run_ms);
                owner.profile.task_ended(task_milli, from_seconds(run_ms / 1000), now());
                if (--job.left > 0)
                    continue;
                if (now_ms_ <= job.latest_start_ms) {
                    ++results_[job.domain].in_time;
                    results_[job.domain].urgent_in_time += job.kind.priority == 0 ? 1 : 0;
                }
                jobs.pop_front();
            }
        }
    }

    void arrive(std::uint32_t domain, const job_kind& kind)
    {
        const auto tasks_per_ms = loads_[domain](now_ms_) * kind.share * shards * slots;
        std::poisson_distribution<int> arrivals{tasks_per_ms / kind.run_ms / kind.tasks};
        for (int i = arrivals(arrivals_); i > 0; --i) {
            auto& host = hosts_[std::size_t{domain} * hosts + arrivals_() % hosts];
            route(host, kind);
        }
    }

    /// Asks up to three owners.
    void route(host_state& host, const job_kind& kind)
    {
        auto& result = results_[host.domain];
        ++result.jobs;
        const auto home = name(host.domain);
        const auto slack = milliseconds{60 + static_cast<int>(0.6 * kind.run_ms)};
        auto candidates = all_of(views_);
        if (how_ == strategy::at_home)
            std::erase_if(candidates, [&](const auto* one) { return one->shard.domain != home; });
        const job_need need{kind.priority, kind.tasks};
        for (int question = 0; question < 3; ++question) {
            if (question > 0 && how_ != strategy::former)
                std::erase_if(candidates, [&](const auto* one) {
                    return !may_start_in_time(estimate_owner(*one, need, host.sent, home, now()),
                                              slack);
                });
            const auto* owner =
                how_ == strategy::former
                    ? former_choice(candidates, home, host.random)
                    : choose_owner(candidates, need, host.sent, home, host.random, now()).owner;
            if (owner == nullptr)
                break;
            ++result.questions;
            host.sent.add(*owner, kind.tasks);
            if (submit(*owner, host.domain, kind, slack)) {
                result.moved += owner->shard.domain == home ? 0 : 1;
                return;
            }
            std::erase(candidates, owner);
        }
        ++result.refused;
    }

    /// \return false if the owner refuses the job
    bool submit(const owner_view& to, std::uint32_t domain, const job_kind& kind,
                milliseconds slack)
    {
        auto& owner = owners_[static_cast<std::size_t>(&to - views_.data())];
        const bool remote = to.shard.domain != name(domain);
        const auto priority = kind.priority + (remote ? 1 : 0);
        owner.profile.task_demand(priority, task_milli, kind.tasks, now());
        const auto load = load_of(owner, priority, now());
        const auto wait = forecast_wait(load, static_cast<double>(kind.tasks) * task_milli,
                                        job_queue::reserved_share);
        if (load.ahead_milli > 0 && wait > slack)
            return false;
        owner.queues[priority].push_back(
            {kind, kind.tasks, domain, now_ms_ + static_cast<int>(slack.count())});
        return true;
    }

    strategy how_;
    std::vector<std::function<double(int)>> loads_;
    std::vector<totals> results_;
    std::vector<owner_state> owners_;
    std::vector<host_state> hosts_;
    std::vector<owner_view> views_;
    rng random_;
    rng arrivals_; ///< of its own, so that all strategies get the same load
    int now_ms_ = 0;
};

using strategy = domain_simulation::strategy;

/// Load that rises and falls by 55% in 13 s.
std::function<double(int)> wave(double mean, double phase)
{
    return [=](int ms) {
        return mean * (1 + 0.55 * std::sin(2 * std::numbers::pi * (ms / 13000.0 + phase)));
    };
}

/// Totals of each domain over several seeds.
std::vector<domain_simulation::totals>
totals_of(strategy how, const std::string& name,
          const std::vector<std::function<double(int)>>& loads)
{
    std::vector<domain_simulation::totals> sums(loads.size());
    for (std::uint64_t seed = 20261206; seed < 20261211; ++seed) {
        const auto one = domain_simulation{how, loads, seed}.run(26000);
        for (std::size_t i = 0; i < one.size(); ++i)
            sums[i] += one[i];
    }
    for (std::size_t i = 0; i < sums.size(); ++i)
        ::testing::Test::RecordProperty(name + "_" + std::to_string(i), sums[i].text());
    return sums;
}

// Guards against jobs that are late or refused in a domain at its peak while the next one has free
// workers.
TEST(owner_choice, trough_of_a_domain_absorbs_the_peak_of_another)
{
    const std::vector<std::function<double(int)>> loads{wave(0.85, 0), wave(0.85, 0.5)};
    const auto home = totals_of(strategy::at_home, "home", loads);
    const auto former = totals_of(strategy::former, "former", loads);
    const auto present = totals_of(strategy::present, "present", loads);
    for (std::size_t i = 0; i < loads.size(); ++i) {
        EXPECT_GT(present[i].in_time, former[i].in_time);
        EXPECT_GT(present[i].in_time, home[i].in_time);
        EXPECT_LT(present[i].refused, former[i].refused * 2 / 3);
        EXPECT_LT(present[i].questions, former[i].questions);
    }
}

// Guards against a hot domain that takes the resources of the next one from its own work, and
// against one that sends its urgent jobs to where they are treated as less urgent.
TEST(owner_choice, hot_domain_does_not_flood_the_next_one)
{
    const std::vector<std::function<double(int)>> loads{[](int) { return 2.0; }, wave(0.75, 0)};
    const auto home = totals_of(strategy::at_home, "home", loads);
    const auto former = totals_of(strategy::former, "former", loads);
    const auto present = totals_of(strategy::present, "present", loads);
    EXPECT_GT(present[1].in_time, former[1].in_time);
    EXPECT_GT(present[1].urgent_in_time, home[1].urgent_in_time * 9 / 10);
    EXPECT_GT(present[0].in_time, home[0].in_time * 5 / 4);
    EXPECT_GT(present[0].urgent_in_time, home[0].urgent_in_time);
    EXPECT_LT(present[0].questions, former[0].questions * 4 / 5);
}

/// The host of domain 0 that owns its shard; empty if there is none.
std::string owner_of_first_domain(const fleet_simulation& simulation)
{
    for (const auto& name : simulation.host_names()) {
        for (const auto& claim : simulation.claims(name)) {
            if (claim.shard.domain == "domain-0" && !claim.leaving)
                return name;
        }
    }
    return {};
}

/// Sends jobs of three priorities to the hosts of domain 0 for some time.
void load_first_domain(fleet_simulation& simulation, duration length, double per_second)
{
    constexpr std::array<std::array<std::uint32_t, 2>, 3> steps{{{8, 55}, {2, 185}, {4, 800}}};
    duration at{0};
    for (int number = 0; at < length; ++number) {
        at += from_seconds(std::exponential_distribution<double>{per_second}(simulation.random()));
        const auto draw = simulation.random()() % 20;
        const std::uint32_t priority = draw < 5 ? 0 : draw < 19 ? 1 : 2;
        wire::job_step step;
        step.count = steps[priority][0];
        step.estimate_ms = steps[priority][1];
        step.cpu_milli = 27000;
        step.memory_mb = 64;
        const auto host = "host-0-" + std::to_string(simulation.random()() % 3);
        simulation.at(at, [&simulation, id = "j" + std::to_string(number), host, step, priority] {
            simulation.submit(id, host, {step}, milliseconds{1500}, priority);
        });
    }
}

// Guards against a peak that is held for the successor of a dead owner while other domains are
// idle, and against a record of sent tasks that keeps jobs from the successor.
TEST(owner_choice, jobs_of_a_peak_run_elsewhere_when_the_owner_dies)
{
    fleet_simulation simulation{{}};
    simulation.run_for(seconds{3});
    load_first_domain(simulation, seconds{8}, 25);
    simulation.run_for(seconds{4});
    const auto owner = owner_of_first_domain(simulation);
    ASSERT_NE(owner, "");
    simulation.kill(owner);
    simulation.run_for(seconds{2});
    const auto successor = owner_of_first_domain(simulation);
    ASSERT_NE(successor, "");
    EXPECT_NE(successor, owner);
    std::uint64_t ends = 0;
    for (const auto& id : {"w-0-0", "w-0-1", "w-0-2", "w-0-3"})
        ends += simulation.worker(id).ends;
    simulation.run_for(seconds{8});
    std::uint64_t later_ends = 0;
    for (const auto& id : {"w-0-0", "w-0-1", "w-0-2", "w-0-3"})
        later_ends += simulation.worker(id).ends;
    EXPECT_GT(later_ends, ends + 50) << "the successor's workers are not used";
    EXPECT_TRUE(simulation.violations().empty());
    std::size_t completed = 0;
    for (const auto& [id, job] : simulation.jobs()) {
        ASSERT_FALSE(job.answers.empty()) << id;
        completed += job.answers.back() == "completed" ? 1 : 0;
    }
    RecordProperty("completed", static_cast<int>(completed));
    RecordProperty("jobs", static_cast<int>(simulation.jobs().size()));
    EXPECT_GT(completed, simulation.jobs().size() * 8 / 10);
    std::uint64_t moved = 0;
    for (const auto& name : simulation.host_names()) {
        for (const auto* reason : {"wait", "room", "no_owner", "refused"})
            moved += simulation.metrics(name).counter("chivewharf_jobs_to_other_domains_total",
                                                      "reason=\"" + std::string{reason} + '"');
    }
    EXPECT_GT(moved, 0U);
}

} // namespace
} // namespace chivewharf::fleet
