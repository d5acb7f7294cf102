#include "fleet_simulation.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace chivewharf::fleet {
namespace {

/// Time of a stop until its open jobs are answered.
constexpr duration stop_time = seconds{3};
/// Time after that in which the process writes responses and messages.
constexpr duration closing_time = milliseconds{200};
constexpr duration long_limit = seconds{30};

wire::job_step step(std::uint32_t estimate_ms, std::uint32_t count = 1)
{
    wire::job_step one;
    one.count = count;
    one.cpu_milli = 1000;
    one.memory_mb = 64;
    one.estimate_ms = estimate_ms;
    return one;
}

wire::job_step step_after(std::uint32_t predecessor, std::uint32_t estimate_ms)
{
    auto one = step(estimate_ms);
    one.depends_on = {predecessor};
    return one;
}

std::vector<std::string> owners_in(fleet_simulation& simulation, const std::string& domain)
{
    std::vector<std::string> owners;
    for (const auto& name : simulation.host_names()) {
        for (const auto& claim : simulation.claims(name)) {
            if (claim.shard.domain == domain)
                owners.push_back(name);
        }
    }
    return owners;
}

/// A host of the first domain that owns no shard.
std::string host_without_shard(fleet_simulation& simulation)
{
    for (const auto& name : simulation.host_names()) {
        if (name.starts_with("host-0") && simulation.claims(name).empty())
            return name;
    }
    return {};
}

std::string owner_of_first_domain(fleet_simulation& simulation)
{
    const auto owners = owners_in(simulation, "domain-0");
    return owners.empty() ? std::string{} : owners.front();
}

std::size_t running_tasks(fleet_simulation& simulation)
{
    std::size_t tasks = 0;
    for (const auto& id : simulation.worker_names())
        tasks += simulation.worker(id).running.size();
    return tasks;
}

std::string answers_of(const fleet_simulation& simulation, const std::string& job)
{
    std::string all;
    for (const auto& answer : simulation.jobs().at(job).answers)
        all.append(all.empty() ? "" : " ").append(answer);
    return all;
}

double answers_at_limit(fleet_simulation& simulation, const std::string& host,
                        const std::string& answer)
{
    return static_cast<double>(simulation.metrics(host).counter(
        "chivewharf_job_answers_total", "answer=\"" + answer + "\",reason=\"stop_limit\""));
}

// Guards against a host that ends its planned stop with a request in work and writes it no
// response, and against tasks that run on for a caller who has been told that the job is lost.
TEST(planned_stop, job_that_runs_at_the_limit_is_answered_as_lost_and_cancelled)
{
    fleet_simulation simulation{{}};
    simulation.run_for(seconds{3});
    const auto host = host_without_shard(simulation);
    simulation.submit("long", host, {step(20000)}, long_limit);
    simulation.run_for(milliseconds{500});
    ASSERT_EQ(running_tasks(simulation), 1U);
    simulation.stop(host, stop_time);
    simulation.run_for(stop_time - milliseconds{40});
    EXPECT_EQ(answers_of(simulation, "long"), "");
    simulation.run_for(milliseconds{40} + closing_time);
    EXPECT_EQ(answers_of(simulation, "long"), "lost");
    EXPECT_EQ(running_tasks(simulation), 0U);
    EXPECT_EQ(answers_at_limit(simulation, host, "lost"), 1);
    EXPECT_EQ(simulation.host(host)->router().answered_at_limit().lost, 1U);
    EXPECT_TRUE(simulation.host(host)->drained());
    simulation.run_for(seconds{5});
    EXPECT_EQ(simulation.violations(), std::vector<std::string>{});
}

// Guards against a job that no owner ever had and that ends without an answer, or with one that
// does not tell the caller that it may send the job again.
TEST(planned_stop, job_without_an_owner_is_refused_at_the_limit)
{
    fleet_simulation simulation{{.hosts = {1}}};
    simulation.run_for(seconds{3});
    const std::string host = "host-0-0";
    // The job waits for an owner until the end of its objective.
    simulation.host(host)->router().set_drained_domains({"domain-0"}, false);
    wire::job_order order;
    order.job = "waiting";
    order.target_ms = 20000;
    order.remaining_ms = 30000;
    order.steps = {step(0)};
    simulation.host(host)->router().submit(7, order, simulation.now());
    simulation.stop(host, stop_time);
    simulation.run_for(stop_time - milliseconds{40});
    EXPECT_EQ(simulation.host(host)->router().jobs(), 1U);
    simulation.run_for(milliseconds{40} + closing_time);
    EXPECT_EQ(simulation.host(host)->router().jobs(), 0U);
    EXPECT_EQ(answers_at_limit(simulation, host, "not_run"), 1);
    EXPECT_EQ(simulation.host(host)->router().answered_at_limit().not_run, 1U);
    EXPECT_EQ(simulation.host(host)->router().answered_at_limit().lost, 0U);
}

// Guards against a job that arrives during the stop, cannot end before it, and is started all the
// same; and against a refusal of one that can end in time.
TEST(planned_stop, late_job_is_served_only_if_it_can_end)
{
    fleet_simulation simulation{{}};
    simulation.run_for(seconds{3});
    const auto host = host_without_shard(simulation);
    simulation.stop(host, stop_time);
    simulation.run_for(seconds{1});
    simulation.submit("short", host, {step(200)}, long_limit);
    simulation.submit("parallel", host, {step(1200), step(1200)}, long_limit);
    simulation.submit("chain", host, {step(1200), step_after(0, 1200)}, long_limit);
    simulation.submit("long", host, {step(2100)}, long_limit);
    EXPECT_EQ(answers_of(simulation, "chain"), "not_run");
    EXPECT_EQ(answers_of(simulation, "long"), "not_run");
    EXPECT_GT(simulation.jobs().at("long").retry_after, duration{0});
    EXPECT_EQ(answers_of(simulation, "parallel"), "");
    simulation.run_for(stop_time - seconds{1});
    EXPECT_EQ(answers_of(simulation, "short"), "completed");
    simulation.submit("after", host, {step(0)}, long_limit);
    EXPECT_EQ(answers_of(simulation, "after"), "not_run");
    for (const auto* job : {"chain", "long", "after"})
        EXPECT_FALSE(simulation.jobs().at(job).started) << job;
    EXPECT_EQ(simulation.violations(), std::vector<std::string>{});
}

// Guards against the callers of other hosts, who wait until a lease is over, or longer, for a job
// whose owner has ended with their tasks running.
TEST(planned_stop, owner_gives_back_the_jobs_of_other_hosts_before_it_ends)
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        fleet_simulation::options options;
        options.seed = seed;
        fleet_simulation simulation{options};
        simulation.run_for(seconds{3});
        const auto owner = owner_of_first_domain(simulation);
        const auto requester = host_without_shard(simulation);
        for (int i = 0; i < 6; ++i)
            simulation.submit("j" + std::to_string(i), requester, {step(4000, 2)}, long_limit);
        simulation.run_for(milliseconds{500});
        const auto former = simulation.starts();
        simulation.stop(owner, stop_time);
        simulation.run_for(stop_time + closing_time);
        EXPECT_TRUE(simulation.host(owner)->drained()) << "seed " << seed;
        EXPECT_TRUE(simulation.claims(owner).empty()) << "seed " << seed;
        simulation.finish_stop(owner);
        simulation.run_for(milliseconds{300});
        EXPECT_GT(simulation.starts(), former) << "seed " << seed;
        simulation.run_for(seconds{20});
        for (const auto& [id, job] : simulation.jobs())
            EXPECT_EQ(answers_of(simulation, id), "completed") << id << ", seed " << seed;
        EXPECT_EQ(simulation.violations(), std::vector<std::string>{}) << "seed " << seed;
    }
}

// Guards against an owner that ends without a word to its requesters because a worker does not
// report the end of a stopped task.
TEST(planned_stop, owner_tells_of_jobs_that_it_cannot_end)
{
    fleet_simulation simulation{{}};
    simulation.run_for(seconds{3});
    const auto owner = owner_of_first_domain(simulation);
    const auto requester = host_without_shard(simulation);
    for (int i = 0; i < 6; ++i)
        simulation.submit("j" + std::to_string(i), requester, {step(4000, 2)}, long_limit);
    simulation.run_for(milliseconds{500});
    simulation.stop(owner, stop_time);
    simulation.run_for(stop_time - milliseconds{40});
    simulation.cut_workers(owner, true);
    simulation.run_for(milliseconds{40} + closing_time);
    EXPECT_FALSE(simulation.host(owner)->drained());
    simulation.finish_stop(owner);
    EXPECT_TRUE(simulation.host(owner)->drained());
    simulation.run_for(milliseconds{1});
    EXPECT_FALSE(simulation.host(requester)->router().owners_with_jobs().contains(owner));
    simulation.run_for(seconds{20});
    for (const auto& [id, job] : simulation.jobs())
        EXPECT_EQ(answers_of(simulation, id), "completed") << id;
    EXPECT_EQ(simulation.violations(), std::vector<std::string>{});
}

/// All hosts stop in turn under load, each at its limit with jobs open.
/// \return the answers of all jobs, by number
std::map<std::string, int> answers_of_rolling_stop(std::uint64_t seed,
                                                   std::vector<std::string>& violations)
{
    fleet_simulation::options options;
    options.seed = seed;
    fleet_simulation simulation{options};
    simulation.run_for(seconds{3});
    const auto hosts = simulation.host_names();
    for (int i = 0; i < 500; ++i) {
        simulation.at(milliseconds{40} * i, [&simulation, &hosts, i] {
            const auto& host = hosts[static_cast<std::size_t>(i) % hosts.size()];
            simulation.submit("j" + std::to_string(i), host, {step(i % 5 == 0 ? 3000 : 300, 2)},
                              long_limit);
        });
    }
    duration begin = seconds{2};
    for (const auto& host : hosts) {
        simulation.at(begin, [&simulation, host] { simulation.stop(host, seconds{2}); });
        simulation.at(begin + seconds{2} + closing_time,
                      [&simulation, host] { simulation.finish_stop(host); });
        simulation.at(begin + seconds{3}, [&simulation, host] { simulation.boot(host); });
        begin += milliseconds{2500};
    }
    simulation.run_for(seconds{60});
    violations = simulation.violations();
    std::map<std::string, int> count;
    for (const auto& [id, job] : simulation.jobs()) {
        for (const auto& answer : job.answers)
            ++count[answer];
        if (job.answers.empty())
            ++count["none"];
    }
    return count;
}

// Guards against requests that are cut, and against tasks that run twice or after a refusal, when
// all hosts stop in turn with jobs open at their limits.
TEST(planned_stop, rolling_stop_under_load_answers_everything)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        std::vector<std::string> violations;
        auto count = answers_of_rolling_stop(seed, violations);
        EXPECT_EQ(count["cut"], 0) << "seed " << seed;
        EXPECT_EQ(count["none"], 0) << "seed " << seed;
        EXPECT_GT(count["completed"], 0) << "seed " << seed;
        EXPECT_EQ(violations, std::vector<std::string>{}) << "seed " << seed;
    }
}

} // namespace
} // namespace chivewharf::fleet
