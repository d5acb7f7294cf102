#include <algorithm>
#include <gtest/gtest.h>
#include <policy/scenarios.h>

namespace chivewharf::policy {
namespace {

constexpr std::uint64_t seed = 20261204;

cluster_options small_domain(double load)
{
    cluster_options options;
    options.hosts = {2};
    options.workers = 20;
    options.load = load;
    options.measured = seconds{15};
    options.seed = seed;
    return options;
}

std::uint64_t count(const std::map<std::string, std::uint64_t>& counts, const std::string& name)
{
    const auto found = counts.find(name);
    return found == counts.end() ? 0 : found->second;
}

double part(const std::map<std::string, std::uint64_t>& counts, const std::string& name)
{
    std::uint64_t total = 0;
    for (const auto& [key, n] : counts)
        total += n;
    return static_cast<double>(count(counts, name)) / static_cast<double>(total);
}

// Guards against workers that fail immediately: they appear fast and idle and would attract all
// tasks.
TEST(policy_faults, failing_workers_get_few_tasks)
{
    cluster_sim sim{small_domain(0.7)};
    sim.at(seconds{16}, [&] {
        sim.set_mode(0, runner_mode::fails);
        sim.set_mode(1, runner_mode::fails);
    });
    const auto f = sim.run();
    EXPECT_GT(count(f.task_ends, "failed"), 0U);
    EXPECT_LT(part(f.task_ends, "failed"), 0.01);
}

// Guards against tasks being sent to a dead worker after its connections were lost.
TEST(policy_faults, dead_worker_costs_few_tasks)
{
    cluster_sim sim{small_domain(0.7)};
    sim.at(seconds{16}, [&] {
        const auto& workers = sim.workers();
        const auto busiest = std::max_element(workers.begin(), workers.end(), [](auto& a, auto& b) {
            return a.running.size() < b.running.size();
        });
        sim.set_mode(static_cast<unsigned>(busiest - workers.begin()), runner_mode::dead);
    });
    const auto f = sim.run();
    EXPECT_GT(count(f.task_ends, "lost"), 0U);
    EXPECT_LE(part(f.task_ends, "lost") + part(f.task_ends, "silent"), 0.01);
}

// Guards against an entry host that still sends tasks to a leaving worker after 3 s.
TEST(policy_faults, leaving_worker_gets_no_work_after_3_s)
{
    cluster_sim sim{small_domain(0.85)};
    std::uint64_t before = 0;
    sim.at(seconds{16}, [&] { sim.set_mode(0, runner_mode::leaving); });
    sim.at(seconds{19}, [&] { before = sim.starts_of(0); });
    (void)sim.run();
    EXPECT_GT(before, 0U);
    EXPECT_EQ(sim.starts_of(0), before);
}

// Guards against a customer that takes slots from other customers by flooding one of two hosts.
TEST(policy_faults, flooding_customer_takes_nothing_from_others)
{
    auto options = small_domain(0);
    options.equal_weights = true;
    const auto run_with = [&](bool flood) {
        cluster_sim sim{options};
        for (unsigned c = 1; c < options.customers; ++c)
            sim.add_stream(c, 0.4 * sim.capacity() / (options.customers - 1), cluster_sim::start,
                           sim.end());
        if (flood)
            sim.add_stream(0, 2 * sim.capacity(), cluster_sim::start, sim.end(), 0);
        return sim.run();
    };
    const auto quiet = run_with(false);
    const auto flooded = run_with(true);
    const auto served = [](const figures& f) {
        double seconds = 0;
        for (const auto& [customer, used] : f.usage)
            seconds += customer == 0 ? 0 : used;
        return seconds;
    };
    EXPECT_GE(part(flooded.quiet_outcomes, "complete"), 0.99);
    EXPECT_GE(served(flooded), 0.99 * served(quiet));
}

// Guards against retry storms: refused work that is resubmitted all at once keeps hosts overloaded.
TEST(policy_faults, recovers_after_a_burst_without_a_retry_storm)
{
    auto options = small_domain(0.6);
    options.caller_retries = 3;
    options.measured = seconds{30};
    cluster_sim sim{options};
    const auto from = cluster_sim::start + seconds{16};
    for (unsigned c = 0; c < options.customers; ++c)
        sim.add_stream(c, 2.4 * sim.capacity() / options.customers, from, from + seconds{5});
    std::size_t in_flight = 0;
    sim.at(seconds{36}, [&] { in_flight = sim.host(0).in_flight() + sim.host(1).in_flight(); });
    const auto f = sim.run();
    std::uint64_t submissions = 0;
    for (const auto& [name, n] : f.outcomes)
        submissions += n;
    // 15 s after the burst, less work is in flight than twice the number of slots.
    EXPECT_LT(in_flight, 2U * options.workers * options.slots);
    EXPECT_LT(f.resubmissions, submissions);
}

// Guards against capacity being wasted on work that misses its deadline.
TEST(policy_faults, overload_keeps_goodput)
{
    EXPECT_GE(run(find_scenario("overload"), "shipped", seed).at("goodput"), 0.95);
}

} // namespace
} // namespace chivewharf::policy
