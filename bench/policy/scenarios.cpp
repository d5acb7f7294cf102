#include <policy/scenarios.h>

#include <algorithm>
#include <stdexcept>

namespace chivewharf::policy {

namespace {

using dispatch::job_ordering;
using dispatch::worker_choice;
using upstream::capacity_split;

/// Load outside of bursts, and in the scenarios with a fault.
constexpr double base_load = 0.7;

/// Time from the start of the measurement to a fault, so that both states are measured.
constexpr duration fault_delay = seconds{2};

cluster_options with_load(double load)
{
    cluster_options options;
    options.load = load;
    return options;
}

cluster_options one_domain(double load)
{
    auto options = with_load(load);
    options.hosts = {7};
    return options;
}

duration fault_time(const cluster_sim& sim)
{
    return sim.options().warm_up + fault_delay;
}

void spread_load(cluster_sim& sim, double load, time_point from, time_point to)
{
    double weights = 0;
    for (unsigned c = 0; c < sim.options().customers; ++c)
        weights += sim.weight(c);
    for (unsigned c = 0; c < sim.options().customers; ++c)
        sim.add_stream(c, load * sim.capacity() * sim.weight(c) / weights, from, to);
}

void burst(cluster_sim& sim)
{
    const auto from = cluster_sim::start + fault_time(sim);
    spread_load(sim, 3 - base_load, from, from + seconds{5});
}

void rolling_restart(cluster_sim& sim)
{
    // Each host in turn stops taking new work, finishes its work and restarts as a new incarnation.
    for (unsigned host = 0; host < sim.hosts(); ++host) {
        const auto from = fault_time(sim) + host * seconds{8};
        sim.at(from, [&sim, host] { sim.drain_host(host); });
        sim.at(from + seconds{8}, [&sim, host] {
            sim.kill_host(host);
            sim.start_host(host);
        });
    }
}

void flood(cluster_sim& sim)
{
    // Customer 0 offers twice the capacity through one host; the others together offer 40%.
    sim.add_stream(0, 2 * sim.capacity(), cluster_sim::start, sim.end(), 0);
    for (unsigned c = 1; c < sim.options().customers; ++c)
        sim.add_stream(c, 0.4 * sim.capacity() / (sim.options().customers - 1), cluster_sim::start,
                       sim.end());
}

void one_host_customers(cluster_sim& sim)
{
    // All customers have equal weights. Two send through a single host each, the others through
    // all.
    for (unsigned c = 0; c < sim.options().customers; ++c) {
        std::optional<unsigned> host;
        if (c < 2)
            host = c;
        sim.add_stream(c, 1.0 * sim.capacity(), cluster_sim::start, sim.end(), host);
    }
}

std::vector<scenario> make_scenarios()
{
    std::vector<scenario> list;
    for (const auto percent : {50, 70, 85, 95})
        list.push_back({"steady-" + std::to_string(percent), with_load(percent / 100.0)});
    list.push_back({"one-domain-85", one_domain(0.85)});
    auto equal = one_domain(0.85);
    equal.speed_spread = 1;
    list.push_back({"equal-speeds-85", equal});
    auto declared = with_load(0.85);
    declared.declared_error = 10;
    list.push_back({"declared-off-85", declared});
    auto bursting = with_load(base_load);
    bursting.caller_retries = 3;
    bursting.measured = seconds{30};
    list.push_back({"burst", bursting, burst});
    list.push_back({"stragglers", with_load(base_load), [](cluster_sim& sim) {
                        for (unsigned w = 7; w < sim.workers().size(); w += 20)
                            sim.workers()[w].speed /= 10;
                    }});
    list.push_back({"failing-workers", with_load(base_load), [](cluster_sim& sim) {
                        sim.at(fault_time(sim), [&sim] {
                            sim.set_mode(0, runner_mode::fails);
                            sim.set_mode(1, runner_mode::fails);
                        });
                    }});
    list.push_back({"dead-worker", with_load(base_load), [](cluster_sim& sim) {
                        sim.at(fault_time(sim), [&sim] { sim.set_mode(0, runner_mode::dead); });
                    }});
    list.push_back({"silent-worker", with_load(base_load), [](cluster_sim& sim) {
                        sim.at(fault_time(sim), [&sim] { sim.set_mode(0, runner_mode::silent); });
                    }});
    list.push_back({"leaving-worker", with_load(base_load), [](cluster_sim& sim) {
                        sim.at(fault_time(sim), [&sim] { sim.set_mode(0, runner_mode::leaving); });
                    }});
    list.push_back({"cancel-wave", with_load(0.85), [](cluster_sim& sim) {
                        sim.at(fault_time(sim), [&sim] { sim.cancel_half(); });
                    }});
    list.push_back({"domain-cut", with_load(base_load), [](cluster_sim& sim) {
                        sim.at(fault_time(sim), [&sim] { sim.cut_domain("domain-0"); });
                        sim.at(fault_time(sim) + seconds{8},
                               [&sim] { sim.cut_domain(std::nullopt); });
                    }});
    auto rolling = one_domain(base_load);
    rolling.measured = seconds{60};
    list.push_back({"rolling-restart", rolling, rolling_restart});
    list.push_back({"host-killed", one_domain(base_load), [](cluster_sim& sim) {
                        sim.at(fault_time(sim), [&sim] { sim.kill_host(0); });
                    }});
    auto lossy = one_domain(base_load);
    lossy.peer_loss = 0.05;
    list.push_back({"peer-loss", lossy});
    auto flooding = one_domain(0);
    flooding.equal_weights = true;
    list.push_back({"flood", flooding, flood});
    auto overload = one_domain(3);
    overload.measured = seconds{10};
    list.push_back({"overload", overload});
    auto shares = one_domain(0);
    shares.equal_weights = true;
    shares.customers = 4;
    shares.measured = seconds{10};
    list.push_back({"share-one-host", shares, one_host_customers});
    auto sofia = with_load(0.85);
    sofia.domain_latency_ms = 1;
    sofia.speed_spread = 2;
    list.push_back({"sofia-85", sofia});
    auto design = with_load(0.85);
    design.hosts = {48};
    design.workers = 340;
    design.customers = 120;
    design.measured = seconds{5};
    list.push_back({"design-domain-85", design});
    return list;
}

double share_error(const figures& f, const cluster_sim& sim)
{
    double used = 0;
    double weights = 0;
    for (unsigned c = 0; c < sim.options().customers; ++c) {
        const auto found = f.usage.find(c);
        used += found == f.usage.end() ? 0 : found->second;
        weights += sim.weight(c);
    }
    double worst = 0;
    for (unsigned c = 0; c < sim.options().customers; ++c) {
        const auto found = f.usage.find(c);
        const double own = found == f.usage.end() ? 0 : found->second;
        worst = std::max(worst, std::abs(own / used / (sim.weight(c) / weights) - 1));
    }
    return worst;
}

double share_of(const std::map<std::string, std::uint64_t>& counts, const std::string& name)
{
    double all = 0;
    for (const auto& [key, n] : counts)
        all += static_cast<double>(n);
    const auto found = counts.find(name);
    return found == counts.end() || all == 0 ? 0 : static_cast<double>(found->second) / all;
}

} // namespace

const std::vector<scenario>& scenarios()
{
    static const auto list = make_scenarios();
    return list;
}

const scenario& find_scenario(std::string_view name)
{
    for (const auto& candidate : scenarios()) {
        if (candidate.name == name)
            return candidate;
    }
    throw std::invalid_argument{"no scenario is named " + std::string{name}};
}

const std::vector<std::pair<std::string, dispatch::policy_options>>& policies()
{
    static const std::vector<std::pair<std::string, dispatch::policy_options>> list{
        {"shipped", {}},
        {"random",
         {worker_choice::random_worker, job_ordering::first_come, capacity_split::uncoordinated,
          false}},
        {"least_outstanding",
         {worker_choice::least_outstanding, job_ordering::first_come, capacity_split::uncoordinated,
          false}},
        {"lo_choice", {.choice = worker_choice::least_outstanding}},
        {"two_choices", {.choice = worker_choice::two_random_choices}},
        {"first_come", {.order = job_ordering::first_come}},
        {"fixed_split", {.split = capacity_split::fixed}},
        {"uncoordinated", {.split = capacity_split::uncoordinated}},
    };
    return list;
}

figure_map run(const scenario& what, const std::string& policy, std::uint64_t seed, figures* raw)
{
    auto options = what.options;
    options.seed = seed;
    const auto found = std::find_if(policies().begin(), policies().end(),
                                    [&](const auto& p) { return p.first == policy; });
    if (found == policies().end())
        throw std::invalid_argument{"no policy is named " + policy};
    options.policy = found->second;
    cluster_sim sim{options};
    if (what.arrange)
        what.arrange(sim);
    const auto f = sim.run();
    figure_map out;
    out["median"] = quantile(f.ratio, 0.5);
    out["p99"] = quantile(f.ratio, 0.99);
    out["absolute_median"] = quantile(f.absolute_ratio, 0.5);
    out["absolute_p99"] = quantile(f.absolute_ratio, 0.99);
    out["quiet_p99"] = quantile(f.quiet_ratio, 0.99);
    out["waste"] = f.waste();
    out["busy"] = f.busy / f.capacity;
    out["goodput"] = f.goodput();
    out["goodput_of_offered"] = f.offered_work > 0 ? f.good_work / f.offered_work : 0;
    out["share_error"] = share_error(f, sim);
    out["starts"] = static_cast<double>(f.starts);
    out["resubmissions"] = static_cast<double>(f.resubmissions);
    out["complete"] = share_of(f.outcomes, "complete");
    out["quiet_complete"] = share_of(f.quiet_outcomes, "complete");
    double lost = 0;
    for (const auto* end : {"failed", "lost", "silent"})
        lost += share_of(f.task_ends, end);
    out["lost_tasks"] = lost;
    const auto necessary = static_cast<double>(f.messages[0]);
    static constexpr std::array<const char*, traffic_kinds> names{
        "necessary",   "m_refused", "m_forward",    "m_grant",
        "m_heartbeat", "m_usage",   "m_membership", "m_config"};
    out["necessary"] = necessary;
    for (std::size_t i = 1; i < traffic_kinds; ++i)
        out[names[i]] = static_cast<double>(f.messages[i]) / necessary;
    if (raw != nullptr)
        *raw = f;
    return out;
}

} // namespace chivewharf::policy
