#include <base/rng.h>
#include <cmath>
#include <deque>
#include <fleet/fleet.h>
#include <gtest/gtest.h>
#include <numeric>
#include <queue>
#include <random>

namespace chivewharf::fleet {
namespace {

const time_point start{seconds{100}};

/// A worker of the simulated shard.
struct simulated_worker {
    std::string id;
    std::int64_t capacity_milli = 0;
    double speed = 1;
};

/// A task of the simulated load; the same in every run with the seed.
struct simulated_task {
    time_point arrives{};
    std::int64_t demand_milli = 0;
    duration run_time{}; ///< on a worker of speed 1
    duration estimate{}; ///< of the caller
};

struct load_mix {
    std::vector<simulated_worker> workers;
    double load = 1; ///< arriving work over the workers' capacity
    double mean_demand = 8000;
    double demand_spread = 0.2;
    duration time = seconds{60};
};

constexpr double run_time_spread = 0.4;
constexpr double straggler_share = 0.03;
constexpr double straggler_factor = 7;
constexpr duration run_times[] = {milliseconds{55}, milliseconds{185}, milliseconds{830}};

std::vector<simulated_worker> workers_of_equal_speed(int count)
{
    std::vector<simulated_worker> all;
    all.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        all.push_back({"w" + std::to_string(i), i % 3 == 0 ? 24000 : 16000, 1});
    return all;
}

std::vector<simulated_worker> workers_of_three_speeds(int count)
{
    constexpr double speeds[] = {0.6, 1, 1.6};
    std::vector<simulated_worker> all;
    all.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        all.push_back({"w" + std::to_string(i), 64000, speeds[i % 3]});
    return all;
}

std::vector<simulated_task> generate(const load_mix& mix, std::uint64_t seed)
{
    rng random{seed};
    std::normal_distribution<double> normal;
    double capacity = 0;
    for (const auto& worker : mix.workers)
        capacity += static_cast<double>(worker.capacity_milli) * worker.speed;
    // Mean of the run times, with their spread and the stragglers.
    const double mean_s =
        std::accumulate(std::begin(run_times), std::end(run_times), 0.0,
                        [](double sum, duration d) { return sum + to_seconds(d); }) /
        3 * std::exp(run_time_spread * run_time_spread / 2) *
        (1 + straggler_share * (straggler_factor - 1));
    const double rate = mix.load * capacity / (mix.mean_demand * mean_s);
    std::vector<simulated_task> tasks;
    for (auto at = start; at < start + mix.time;) {
        at += from_seconds(-std::log(1 - uniform(random)) / rate);
        const double base = to_seconds(run_times[random() % 3]);
        const double spread = std::exp(run_time_spread * normal(random));
        const bool straggler = uniform(random) < straggler_share;
        const double estimate = base * std::exp(run_time_spread * normal(random));
        const double deviation = mix.demand_spread * normal(random);
        const double demand = std::clamp(mix.mean_demand * (1 + deviation), mix.mean_demand / 4,
                                         mix.mean_demand * 1.5);
        tasks.push_back({at, static_cast<std::int64_t>(demand),
                         from_seconds(base * spread * (straggler ? straggler_factor : 1)),
                         from_seconds(estimate)});
    }
    return tasks;
}

/// The rules that are compared.
struct rules {
    bool bands_and_fit = true; ///< false: the former choice of a worker
    bool reservations = true;
};

/// The choice before speeds were compared in bands: the smallest difference in speed decides.
std::optional<std::size_t> former_choice(const std::vector<placement_candidate>& candidates,
                                         const std::vector<std::int64_t>& capacities,
                                         const placement_request& request)
{
    std::optional<std::size_t> best;
    double best_cost = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto& one = candidates[i];
        const auto expected = to_seconds(request.run_time) / one.speed;
        double cost = expected;
        if (expected * 1.3 <= to_seconds(request.time_left))
            cost = -1e3 + 100 * one.speed +
                   static_cast<double>(one.free_milli - request.demand_milli) /
                       static_cast<double>(capacities[i]);
        if (best && cost >= best_cost)
            continue;
        best = i;
        best_cost = cost;
    }
    return best;
}

/// Serves a load on the workers of one shard in virtual time.
class shard_simulation {
public:
    struct result {
        double used = 0;            ///< mean share of the processor time in use
        std::vector<bool> served;   ///< by task
        std::size_t on_time = 0;    ///< tasks that met their objective
        std::size_t violations = 0; ///< tasks that waited although an unreserved worker had room
    };

    shard_simulation(load_mix mix, rules chosen) : mix_{std::move(mix)}, rules_{chosen}
    {
        for (const auto& worker : mix_.workers)
            states_.push_back({worker, worker.capacity_milli, {}});
    }

    result run(const std::vector<simulated_task>& tasks)
    {
        tasks_ = &tasks;
        result_.served.assign(tasks.size(), false);
        std::size_t next = 0;
        while (next < tasks.size() || !ends_.empty()) {
            const bool arrival =
                next < tasks.size() && (ends_.empty() || tasks[next].arrives <= ends_.top().at);
            advance(arrival ? tasks[next].arrives : ends_.top().at);
            if (arrival) {
                profile_.task_demand(0, tasks[next].demand_milli, 1, now_);
                waiting_.push_back(next++);
            }
            else
                end_task();
            pass();
        }
        const auto whole = capacity() * to_seconds(mix_.time);
        result_.used /= whole;
        return result_;
    }

private:
    struct running {
        std::size_t task = 0;
        time_point began{};
    };
    struct state {
        simulated_worker worker;
        std::int64_t free_milli = 0;
        std::vector<running> tasks;
    };
    struct end {
        time_point at{};
        std::size_t worker = 0;
        std::size_t task = 0;
        bool operator<(const end& other) const
        {
            return std::tie(other.at, other.task) < std::tie(at, task);
        }
    };

    static constexpr std::size_t depth = 32;
    /// Time after which a waiting task is refused.
    static constexpr duration patience = milliseconds{600};

    double capacity() const
    {
        double sum = 0;
        for (const auto& worker : mix_.workers)
            sum += static_cast<double>(worker.capacity_milli);
        return sum;
    }

    void advance(time_point to)
    {
        const auto until = std::min(to, start + mix_.time);
        const auto elapsed = to_seconds(until - std::min(now_, until));
        for (const auto& one : states_) {
            result_.used +=
                static_cast<double>(one.worker.capacity_milli - one.free_milli) * elapsed;
        }
        now_ = to;
    }

    static resources demand_of(const simulated_task& task) { return {task.demand_milli, 0, 0}; }
    const simulated_task& task(std::size_t index) const { return (*tasks_)[index]; }

    void end_task()
    {
        const auto ended = ends_.top();
        ends_.pop();
        auto& there = states_[ended.worker];
        const auto where = std::find_if(there.tasks.begin(), there.tasks.end(),
                                        [&](const auto& one) { return one.task == ended.task; });
        model_.observe("q", task(ended.task).estimate, there.worker.id, now_ - where->began);
        there.free_milli += task(ended.task).demand_milli;
        there.tasks.erase(where);
        const auto objective =
            from_seconds(1.6 * to_seconds(task(ended.task).run_time)) + milliseconds{60};
        if (now_ - task(ended.task).arrives <= objective)
            ++result_.on_time;
    }

    void pass()
    {
        std::erase_if(waiting_, [&](auto index) { return now_ - task(index).arrives > patience; });
        backfill_.begin_pass();
        std::size_t skipped = 0;
        for (auto it = waiting_.begin(); it != waiting_.end() && skipped < depth;) {
            if (!backfill_.known_not_to_fit("s", demand_of(task(*it))) && place(*it)) {
                it = waiting_.erase(it);
                continue;
            }
            reserve(*it);
            ++skipped;
            ++it;
        }
        check(std::min(depth, waiting_.size()));
    }

    /// No task waits while it fits on a worker that is not reserved for another.
    void check(std::size_t number)
    {
        for (std::size_t i = 0; i < number; ++i) {
            const auto job = std::to_string(waiting_[i]);
            result_.violations += std::any_of(states_.begin(), states_.end(), [&](const auto& one) {
                return one.free_milli >= task(waiting_[i]).demand_milli &&
                       !backfill_.reserved_for_other("s", one.worker.id, job, time_point::max());
            });
        }
    }

    bool place(std::size_t index)
    {
        const auto& one = task(index);
        const auto job = std::to_string(index);
        std::vector<std::size_t> workers;
        std::vector<std::int64_t> capacities;
        std::vector<placement_candidate> candidates;
        for (std::size_t i = 0; i < states_.size(); ++i) {
            const auto& there = states_[i];
            const auto ends = now_ + model_.expected("q", one.estimate, there.worker.id);
            if (there.free_milli < one.demand_milli ||
                backfill_.reserved_for_other("s", there.worker.id, job, ends))
                continue;
            workers.push_back(i);
            capacities.push_back(there.worker.capacity_milli);
            candidates.push_back({there.free_milli, model_.speed(there.worker.id), true, false});
        }
        const auto nominal = model_.nominal("q", one.estimate);
        const auto objective =
            one.arrives + from_seconds(1.6 * to_seconds(nominal)) + milliseconds{60};
        const placement_request request{one.demand_milli, profile_.typical_demand(), nominal,
                                        objective - now_};
        const auto chosen = rules_.bands_and_fit ? choose_placement(candidates, request)
                                                 : former_choice(candidates, capacities, request);
        if (!chosen) {
            backfill_.found_no_worker("s", demand_of(one));
            return false;
        }
        begin(index, workers[*chosen]);
        return true;
    }

    void begin(std::size_t index, std::size_t worker)
    {
        auto& there = states_[worker];
        there.free_milli -= task(index).demand_milli;
        there.tasks.push_back({index, now_});
        result_.served[index] = true;
        ends_.push({now_ + from_seconds(to_seconds(task(index).run_time) / there.worker.speed),
                    worker, index});
    }

    void reserve(std::size_t index)
    {
        const auto job = std::to_string(index);
        if (!rules_.reservations || !backfill_.begin_search("s", job, now_))
            return;
        std::string best;
        auto earliest = task(index).arrives + patience;
        for (const auto& there : states_) {
            std::vector<expected_release> releases;
            for (const auto& one : there.tasks)
                releases.push_back(
                    {expected_end(one.began,
                                  model_.expected("q", task(one.task).estimate, there.worker.id),
                                  now_),
                     demand_of(task(one.task))});
            const auto at = room_expected_at({there.free_milli, 0, 0}, std::move(releases),
                                             demand_of(task(index)), now_);
            if (at && *at <= earliest) {
                earliest = *at;
                best = there.worker.id;
            }
        }
        if (!best.empty())
            backfill_.reserve("s", {job, best, earliest});
    }

    load_mix mix_;
    rules rules_;
    const std::vector<simulated_task>* tasks_ = nullptr;
    time_point now_ = start;
    std::vector<state> states_;
    std::deque<std::size_t> waiting_;
    std::priority_queue<end> ends_;
    run_time_model model_;
    demand_profile profile_;
    backfill backfill_;
    result result_;
};

/// Sums over several seeds.
struct summary {
    double used = 0; ///< mean
    std::size_t tasks = 0;
    std::size_t served = 0;
    std::size_t large = 0; ///< tasks whose demand exceeds the mean by 30%
    std::size_t large_served = 0;
    std::size_t on_time = 0;
    std::size_t violations = 0;

    double large_share() const
    {
        return static_cast<double>(large_served) / static_cast<double>(large);
    }
    double share() const { return static_cast<double>(served) / static_cast<double>(tasks); }
};

summary simulate(const load_mix& mix, rules chosen)
{
    constexpr std::uint64_t seeds = 4;
    summary sum;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto tasks = generate(mix, seed);
        const auto got = shard_simulation{mix, chosen}.run(tasks);
        sum.used += got.used / seeds;
        sum.on_time += got.on_time;
        sum.violations += got.violations;
        sum.tasks += tasks.size();
        for (std::size_t i = 0; i < tasks.size(); ++i) {
            const bool large = static_cast<double>(tasks[i].demand_milli) > 1.3 * mix.mean_demand;
            sum.served += got.served[i] ? 1 : 0;
            sum.large += large ? 1 : 0;
            sum.large_served += large && got.served[i] ? 1 : 0;
        }
    }
    return sum;
}

load_mix equal_speeds(double load)
{
    return {workers_of_equal_speed(18), load};
}

load_mix three_speeds(double load)
{
    return {workers_of_three_speeds(18), load, 32000};
}

constexpr rules former{false, false};
constexpr rules current{true, true};

// Guards against a choice that scatters free processor time over workers where no task fits: with
// the same load, the former choice had less work in progress.
TEST(placement, more_work_is_in_progress_than_with_the_former_choice)
{
    for (const auto& mix : {equal_speeds(1.0), three_speeds(1.0)})
        EXPECT_GT(simulate(mix, current).used, simulate(mix, former).used);
}

// Guards against large tasks that starve while smaller ones take each fragment that becomes free.
TEST(placement, largest_demands_are_served_half_as_often_as_the_mean)
{
    for (const auto& mix : {equal_speeds(1.1), three_speeds(1.1)}) {
        const auto got = simulate(mix, current);
        EXPECT_GE(got.large_share(), 0.5 * got.share());
        EXPECT_GT(got.large_share(), simulate(mix, former).large_share());
    }
}

// Guards against workers that stay idle while tasks wait that fit: only one worker may be reserved.
TEST(placement, no_task_waits_while_an_unreserved_worker_has_room)
{
    for (const auto& mix : {equal_speeds(0.9), three_speeds(1.3)})
        EXPECT_EQ(simulate(mix, current).violations, 0U);
}

// Guards against differences of learned speeds that decide by chance: fit comes first among workers
// of about the same speed.
TEST(placement, fit_decides_among_workers_of_about_the_same_speed)
{
    const placement_request request{8000, 8000, milliseconds{100}, milliseconds{300}};
    EXPECT_EQ(choose_placement({{15900, 0.95, true, false}, {8100, 1.05, true, false}}, request),
              1U);
    EXPECT_EQ(choose_placement({{15900, 0.6, true, false}, {8100, 1.0, true, false}}, request), 0U);
    EXPECT_FALSE(choose_placement({}, request));
}

// Guards against remainders in which no task fits: a remainder for a typical task is preferred to a
// smaller one for none.
TEST(placement, remainder_is_usable_or_small)
{
    const placement_request request{7000, 8000, milliseconds{100}, milliseconds{300}};
    EXPECT_EQ(choose_placement({{11000, 1, true, false}, {15100, 1, true, false}}, request), 1U);
    EXPECT_EQ(choose_placement({{15100, 1, true, false}, {7050, 1, true, false}}, request), 1U);
}

// Guards against short tasks on fast workers while long ones miss their objective on slow workers.
TEST(placement, long_tasks_go_to_fast_workers)
{
    const std::vector<placement_candidate> workers{
        {64000, 1, true, false}, {64000, 0.6, true, false}, {64000, 1.6, true, false}};
    placement_request request{32000, 32000, milliseconds{50}, milliseconds{140}};
    EXPECT_EQ(choose_placement(workers, request), 1U);
    request.run_time = milliseconds{100};
    EXPECT_EQ(choose_placement(workers, request), 0U);
    request.run_time = milliseconds{150};
    EXPECT_EQ(choose_placement(workers, request), 2U) << "none meets the objective";
}

// Guards against a task that is started again at once where its last run did not succeed.
TEST(placement, worker_of_the_last_run_comes_last)
{
    const placement_request request{8000, 8000, milliseconds{100}, milliseconds{300}};
    EXPECT_EQ(choose_placement({{8000, 1, true, true}, {16000, 1, true, false}}, request), 1U);
    EXPECT_EQ(choose_placement({{8000, 1, true, true}}, request), 0U);
}

// Guards against fragments that count as room.
TEST(usable_capacity, fragments_do_not_count)
{
    usable_capacity workers;
    workers.add({16000, 1000, 0}, {7000, 1000, 0});
    workers.add({16000, 1000, 0}, {9000, 100, 0});
    EXPECT_EQ(workers.free_milli(), 16000U);
    EXPECT_EQ(workers.used_milli(), 16000U);
    EXPECT_EQ(workers.startable_tasks({8000, 0, 0}), 1U);
    EXPECT_EQ(workers.startable_tasks({8000, 200, 0}), 0U);
    EXPECT_EQ(workers.tasks_if_idle({8000, 0, 0}), 4U);
    EXPECT_EQ(workers.startable_tasks({}), 0U);
}

// Guards against a reservation on a worker that never gets enough room, or gets it later.
TEST(backfill, room_is_expected_when_enough_tasks_have_ended)
{
    const std::vector<expected_release> releases{{start + milliseconds{50}, {4000, 0, 0}},
                                                 {start + milliseconds{20}, {8000, 0, 0}}};
    EXPECT_EQ(room_expected_at({4000, 0, 0}, releases, {4000, 0, 0}, start), start);
    EXPECT_EQ(room_expected_at({4000, 0, 0}, releases, {12000, 0, 0}, start),
              start + milliseconds{20});
    EXPECT_EQ(room_expected_at({4000, 0, 0}, releases, {13000, 0, 0}, start),
              start + milliseconds{50});
    EXPECT_FALSE(room_expected_at({4000, 0, 0}, releases, {17000, 0, 0}, start));
}

} // namespace
} // namespace chivewharf::fleet
