#include "simulation.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace chivewharf::sched {
namespace {

struct profile {
    double weight;
    double mean_seconds;
    double error; // declared / true run time
};

std::vector<profile> any_profiles(rng& random, std::size_t n)
{
    std::vector<profile> list;
    for (std::size_t i = 0; i < n; ++i)
        list.push_back({1 + 3 * uniform(random), 0.05 + 0.5 * uniform(random),
                        std::pow(10.0, 2 * uniform(random) - 1)});
    return list;
}

// Guards against shares that follow declared run times or numbers of tasks instead of slot time.
RC_GTEST_PROP(fair_queue_share, backlogged_customers_get_their_weighted_share, ())
{
    const auto customers = *rc::gen::inRange<customer_id>(2, 9);
    rng random{*rc::gen::arbitrary<std::uint64_t>()};
    const auto profiles = any_profiles(random, customers);
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

} // namespace
} // namespace chivewharf::sched
