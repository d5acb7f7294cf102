#include "fleet_simulation.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace chivewharf::fleet {
namespace {

const std::string first_domain = "domain-0";

wire::job_step step(std::uint32_t count, std::uint32_t estimate_ms)
{
    wire::job_step one;
    one.count = count;
    one.cpu_milli = 27000;
    one.memory_mb = 64;
    one.estimate_ms = estimate_ms;
    return one;
}

/// Submits jobs of two tasks at regular times, one host after the other.
void steady_load(fleet_simulation& simulation, duration length, duration interval)
{
    const auto hosts = simulation.host_names();
    static int number = 0;
    for (duration at{0}; at < length; at += interval) {
        const auto& host = hosts[static_cast<std::size_t>(number) % hosts.size()];
        simulation.at(at, [&simulation, id = "d" + std::to_string(number++), host] {
            simulation.submit(id, host, {step(2, 200)});
        });
    }
}

std::string owner_of(fleet_simulation& simulation, const std::string& domain)
{
    for (const auto& name : simulation.host_names()) {
        for (const auto& claim : simulation.claims(name)) {
            if (claim.shard.domain == domain)
                return name;
        }
    }
    return {};
}

bool knows_drain(fleet_simulation& simulation, const std::string& host, const std::string& domain)
{
    const auto known = simulation.host(host)->report(simulation.now()).drained_domains;
    return std::find(known.begin(), known.end(), domain) != known.end();
}

std::size_t running_in(fleet_simulation& simulation, const std::string& domain)
{
    std::size_t tasks = 0;
    for (const auto& id : simulation.worker_names()) {
        const auto& worker = simulation.worker(id);
        if (worker.entry.domain == domain)
            tasks += worker.running.size();
    }
    return tasks;
}

void expect_all_completed(const fleet_simulation& simulation)
{
    for (const auto& [id, job] : simulation.jobs()) {
        ASSERT_FALSE(job.answers.empty()) << id;
        EXPECT_EQ(job.answers.back(), "completed") << id;
    }
    EXPECT_EQ(simulation.violations(), std::vector<std::string>{});
}

// Guards against an older report that ends or begins a drain again.
TEST(drain_state, newer_offset_wins)
{
    const time_point now{seconds{100}};
    drain_state drains;
    EXPECT_TRUE(drains.learn(7, {"a"}, now));
    EXPECT_FALSE(drains.learn(6, {}, now));
    EXPECT_FALSE(drains.learn(7, {"b"}, now));
    EXPECT_FALSE(drains.learn(0, {}, now));
    EXPECT_TRUE(drains.drained("a"));
    EXPECT_FALSE(drains.learn(8, {"a"}, now));
    EXPECT_EQ(drains.offset(), 8U);
    EXPECT_TRUE(drains.learn(9, {"b"}, now));
    EXPECT_FALSE(drains.drained("a"));
    EXPECT_TRUE(drains.drained("b"));
}

// Guards against cold workers that get their full load at once, and against a limit that never
// ends or outlives a second drain.
TEST(drain_state, load_returns_in_steps)
{
    const time_point now{seconds{100}};
    drain_state drains;
    EXPECT_EQ(drains.usable_share("a", now), 1);
    drains.learn(1, {"a"}, now);
    EXPECT_EQ(drains.usable_share("a", now + seconds{60}), 0);
    const auto end = now + seconds{60};
    drains.learn(2, {}, end);
    EXPECT_DOUBLE_EQ(drains.usable_share("a", end), 0.1);
    EXPECT_LT(drains.usable_share("a", end + seconds{4}), 1);
    EXPECT_EQ(drains.usable_share("a", end + seconds{5}), 1);
    EXPECT_EQ(drains.usable_share("b", end), 1);
    drains.learn(3, {"a"}, end + seconds{1});
    EXPECT_EQ(drains.usable_share("a", end + seconds{1}), 0);
}

// Guards against tasks that start in a drained domain, jobs that are lost or held there, and a
// domain that does not return to service.
TEST(domain_drain, load_moves_away_and_returns)
{
    fleet_simulation simulation{{}};
    simulation.run_for(seconds{3});
    steady_load(simulation, seconds{18}, milliseconds{60});
    simulation.run_for(seconds{3});
    ASSERT_GT(simulation.starts_in(first_domain), 0U);
    simulation.drain(first_domain, true);
    simulation.run_for(seconds{4});
    EXPECT_EQ(running_in(simulation, first_domain), 0U);
    const auto owner = owner_of(simulation, first_domain);
    EXPECT_NE(owner, "") << "the claim was given up";
    EXPECT_EQ(simulation.metrics(owner).gauge("chivewharf_drained_domains"), 1);
    const auto before = simulation.starts_in(first_domain);
    simulation.run_for(seconds{2});
    EXPECT_EQ(simulation.starts_in(first_domain), before);
    simulation.drain(first_domain, false);
    simulation.run_for(seconds{12});
    EXPECT_GT(simulation.starts_in(first_domain), before + 20);
    expect_all_completed(simulation);
}

// Guards against cold workers that get their full load at once: the first step admits a tenth of
// the domain's 288 cores, which is one task of 27 cores.
TEST(domain_drain, few_tasks_start_right_after_the_end)
{
    fleet_simulation simulation{{}};
    simulation.run_for(seconds{3});
    simulation.drain(first_domain, true);
    simulation.run_for(seconds{2});
    steady_load(simulation, seconds{8}, milliseconds{20});
    simulation.run_for(seconds{1});
    simulation.drain(first_domain, false);
    std::size_t most = 0;
    for (int i = 0; i < 50; ++i) {
        simulation.run_for(milliseconds{10});
        most = std::max(most, running_in(simulation, first_domain));
    }
    EXPECT_LE(most, 1U);
    std::size_t later = 0;
    for (int i = 0; i < 600; ++i) {
        simulation.run_for(milliseconds{10});
        later = std::max(later, running_in(simulation, first_domain));
    }
    EXPECT_GT(later, 6U);
    EXPECT_EQ(simulation.violations(), std::vector<std::string>{});
}

// Guards against further steps and retries of started jobs in the drained domain, and against jobs
// that wait there for a start that never comes.
TEST(domain_drain, started_jobs_run_elsewhere)
{
    fleet_simulation::options options;
    options.hosts = {2, 2};
    fleet_simulation simulation{options};
    simulation.run_for(seconds{3});
    auto second = step(2, 100);
    second.depends_on = {0};
    for (int i = 0; i < 6; ++i)
        simulation.submit("s" + std::to_string(i), "host-0-0", {step(1, 600), second}, seconds{8});
    simulation.run_for(milliseconds{100});
    ASSERT_GT(running_in(simulation, first_domain), 0U);
    simulation.drain(first_domain, true);
    simulation.run_for(seconds{8});
    expect_all_completed(simulation);
    std::uint64_t interrupted = 0;
    for (const auto& host : simulation.host_names())
        interrupted +=
            simulation.metrics(host).counter("chivewharf_job_ends_total", "end=\"interrupted\"");
    EXPECT_GT(interrupted, 0U);
}

// Guards against a successor that does not know the drain, and a domain without an owner after its
// end.
TEST(domain_drain, owner_dies_at_the_request)
{
    fleet_simulation simulation{{}};
    simulation.run_for(seconds{3});
    steady_load(simulation, seconds{12}, milliseconds{80});
    simulation.run_for(seconds{1});
    const auto owner = owner_of(simulation, first_domain);
    simulation.drain(first_domain, true);
    simulation.run_for(milliseconds{100});
    simulation.kill(owner);
    simulation.run_for(seconds{4});
    const auto successor = owner_of(simulation, first_domain);
    ASSERT_NE(successor, "");
    EXPECT_NE(successor, owner);
    const auto before = simulation.starts_in(first_domain);
    simulation.boot(owner);
    simulation.run_for(seconds{1});
    EXPECT_EQ(simulation.starts_in(first_domain), before);
    simulation.drain(first_domain, false);
    simulation.run_for(seconds{10});
    EXPECT_GT(simulation.starts_in(first_domain), before);
    EXPECT_EQ(simulation.violations(), std::vector<std::string>{});
}

// Guards against an owner that the store rejects and that never hears of a drain or of its end,
// also after it has started anew.
TEST(domain_drain, host_without_the_store_is_told_by_others)
{
    fleet_simulation simulation{{}};
    simulation.run_for(seconds{3});
    const auto owner = owner_of(simulation, first_domain);
    simulation.store_up(owner, false);
    simulation.run_for(seconds{1});
    steady_load(simulation, seconds{10}, milliseconds{80});
    simulation.drain(first_domain, true);
    simulation.run_for(seconds{3});
    EXPECT_TRUE(knows_drain(simulation, owner, first_domain));
    simulation.kill(owner);
    simulation.run_for(milliseconds{500});
    simulation.boot(owner);
    simulation.run_for(seconds{2});
    EXPECT_TRUE(knows_drain(simulation, owner, first_domain));
    simulation.drain(first_domain, false);
    simulation.run_for(seconds{2});
    EXPECT_FALSE(knows_drain(simulation, owner, first_domain));
    simulation.run_for(seconds{6});
    EXPECT_EQ(simulation.violations(), std::vector<std::string>{});
}

// Guards against a new owner that keeps to a drain which ended while the claim moved, or that
// starts tasks under one which has not.
TEST(domain_drain, request_is_removed_while_the_claim_moves)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        fleet_simulation::options options;
        options.seed = seed;
        fleet_simulation simulation{options};
        simulation.run_for(seconds{3});
        steady_load(simulation, seconds{14}, milliseconds{80});
        simulation.drain(first_domain, true);
        simulation.run_for(seconds{2});
        const auto owner = owner_of(simulation, first_domain);
        simulation.stop(owner);
        simulation.run_for(seed * milliseconds{60});
        simulation.drain(first_domain, false);
        simulation.run_for(milliseconds{700});
        simulation.kill(owner);
        const auto before = simulation.starts_in(first_domain);
        simulation.run_for(seconds{10});
        EXPECT_GT(simulation.starts_in(first_domain), before + 20) << "seed " << seed;
        EXPECT_EQ(simulation.violations(), std::vector<std::string>{}) << "seed " << seed;
    }
}

// Guards against a second request that ends the first, or a job that is lost between the two.
TEST(domain_drain, two_domains_are_drained)
{
    fleet_simulation simulation{{}};
    simulation.run_for(seconds{3});
    steady_load(simulation, seconds{8}, milliseconds{120});
    simulation.run_for(seconds{1});
    simulation.drain(first_domain, true);
    simulation.run_for(milliseconds{300});
    simulation.drain("domain-1", true);
    simulation.run_for(seconds{9});
    EXPECT_TRUE(knows_drain(simulation, "host-2-0", first_domain));
    EXPECT_TRUE(knows_drain(simulation, "host-2-0", "domain-1"));
    expect_all_completed(simulation);
}

// Guards against callers that are held until their deadline, hosts that count as unready, and
// answers without a time to come back while all domains are drained.
TEST(domain_drain, all_domains_are_drained)
{
    fleet_simulation simulation{{}};
    simulation.run_for(seconds{3});
    for (int domain = 0; domain < 3; ++domain)
        simulation.drain("domain-" + std::to_string(domain), true);
    simulation.run_for(seconds{2});
    for (const auto& host : simulation.host_names()) {
        EXPECT_TRUE(simulation.host(host)->ready(simulation.now())) << host;
        simulation.submit("at-" + host, host, {step(2, 200)});
    }
    simulation.run_for(milliseconds{30});
    for (const auto& [id, job] : simulation.jobs()) {
        EXPECT_EQ(job.answers, std::vector<std::string>{"not_run"}) << id;
        EXPECT_GE(job.retry_after, milliseconds{100}) << id;
    }
    EXPECT_EQ(simulation.starts(), 0U);
    simulation.drain("domain-2", false);
    simulation.run_for(seconds{1});
    simulation.submit("after", "host-0-0", {step(2, 200)});
    simulation.run_for(seconds{2});
    EXPECT_EQ(simulation.jobs().at("after").answers, std::vector<std::string>{"completed"});
}

// Guards against drains of domains that do not exist, which would fill the reports or hide others.
TEST(domain_drain, unknown_domains_are_ignored)
{
    fleet_simulation simulation{{}};
    simulation.run_for(seconds{3});
    for (int i = 0; i < 100; ++i)
        simulation.drain("a-" + std::to_string(i), true);
    simulation.drain("domain-0/x", true);
    simulation.drain("domain-2", true);
    simulation.run_for(seconds{2});
    const auto report = simulation.host("host-0-0")->report(simulation.now());
    EXPECT_EQ(report.drained_domains, std::vector<std::string>{"domain-2"});
    EXPECT_GT(report.operator_offset, 100U);
}

} // namespace
} // namespace chivewharf::fleet
