#include <membership/tests/domain_sim.h>

#include <cmath>
#include <gtest/gtest.h>
#include <limits>

namespace chivewharf::membership {
namespace {

using testing::domain_sim;

constexpr std::size_t host_count = 48;
constexpr std::size_t customer_count = 120;

std::string customer(std::size_t c)
{
    return "customer-" + std::to_string(c);
}

// Maximum relative error over all running hosts and customers.
double worst_error(domain_sim& sim, const std::vector<double>& truth)
{
    double worst = 0;
    for (auto& n : sim.nodes()) {
        if (!n.up)
            continue;
        const auto live = n.table->live_count();
        for (std::size_t c = 0; c < truth.size(); ++c) {
            const auto estimate = n.usage->domain_usage(customer(c), live, sim.now);
            worst = std::max(worst, std::abs(estimate - truth[c]) / truth[c]);
        }
    }
    return worst;
}

// A domain and the usage that each of its hosts was given.
struct measured_domain {
    domain_sim sim{host_count, 20261204};
    rng random{7};
    std::vector<std::vector<double>> own{host_count, std::vector<double>(customer_count)};

    void draw()
    {
        for (std::size_t i = 0; i < host_count; ++i) {
            for (std::size_t c = 0; c < customer_count; ++c) {
                own[i][c] = uniform(random);
                EXPECT_TRUE(sim[i].usage->set_own(customer(c), own[i][c]));
            }
        }
    }

    double error()
    {
        std::vector<double> truth(customer_count);
        for (std::size_t i = 0; i < host_count; ++i) {
            for (std::size_t c = 0; c < customer_count && sim[i].up; ++c)
                truth[c] += own[i][c];
        }
        return worst_error(sim, truth);
    }
};

// Guards against averages that do not converge, that miss a change in usage, or that are wrong just
// after the start of an epoch.
TEST(usage_average, estimates_are_within_5_percent_after_8_s)
{
    measured_domain d;
    d.draw();
    d.sim.run(seconds{8});
    EXPECT_LT(d.error(), 0.05);
    for (int i = 0; i < 40; ++i) {
        d.sim.run(seconds{1});
        ASSERT_LT(d.error(), 0.05) << i;
    }
    d.draw();
    d.sim.run(seconds{24});
    EXPECT_LT(d.error(), 0.05);
}

// Guards against errors from lost messages or a failed host that persist: the start of a new epoch
// must remove them. One epoch and the settling time of the next take 24 s.
TEST(usage_average, recovers_from_loss_and_a_dead_host)
{
    measured_domain d;
    d.draw();
    d.sim.loss = 0.2;
    d.sim.run(seconds{40});
    d.sim.loss = 0;
    d.sim[7].up = false;
    d.sim.run(seconds{27});
    EXPECT_LT(d.error(), 0.05);
    EXPECT_EQ(d.sim[0].usage->size(), customer_count);
}

// Guards against a total usage that grows or shrinks when two exchanges overlap.
TEST(usage_average, overlapping_exchanges_keep_the_sum)
{
    rng random{1};
    usage_average a{{}}, b{{}}, c{{}};
    ASSERT_TRUE(a.set_own("x", 9));
    const auto to_b = a.tick({"b"}, {}, random);
    const auto to_a = c.tick({"a"}, {}, random);
    const auto from_b = *b.receive("a", to_b->message, {});
    const auto from_a = *a.receive("c", to_a->message, {});
    ASSERT_TRUE(a.receive("b", from_b->message, {}));
    ASSERT_TRUE(c.receive("a", from_a->message, {}));
    EXPECT_DOUBLE_EQ(b.domain_usage("x", 1, {}), 4.5);
    EXPECT_DOUBLE_EQ(c.domain_usage("x", 1, {}), 4.5);
    EXPECT_FALSE(*a.receive("b", from_b->message, {})) << "a second copy of a reply is ignored";
    // b and c hold 4.5 each, so nothing is left in a's mean; a still reports its own usage.
    EXPECT_DOUBLE_EQ(a.domain_usage("x", 1, {}), 9);
    EXPECT_TRUE(a.tick({"b"}, time_point{} + seconds{1}, random)->message.keys.empty());
}

// Guards against a peer that corrupts the estimate or fills the table, and against customers that
// stay in the table after all their usage has ended.
TEST(usage_average, refuses_malformed_vectors_and_stays_bounded)
{
    usage_average a{{}};
    const auto nan = std::numeric_limits<float>::quiet_NaN();
    EXPECT_EQ(a.receive("b", {1, 0, false, {1}, {nan}}, {}).error().code,
              membership_errc::malformed);
    EXPECT_EQ(a.receive("b", {1, 0, false, {1, 2}, {1}}, {}).error().code,
              membership_errc::malformed);
    EXPECT_EQ(a.set_own("x", nan).error().code, membership_errc::malformed);
    usage_message large{1, 0, false, {}, {}};
    for (std::uint32_t key = 0; key <= max_customers; ++key) {
        large.keys.push_back(key);
        large.values.push_back(1);
    }
    EXPECT_EQ(a.receive("b", large, {}).error().code, membership_errc::table_full);
    EXPECT_EQ(a.size(), 0U);
    ASSERT_TRUE(a.set_own("x", 1));
    ASSERT_TRUE(a.set_own("x", 0));
    rng random{1};
    for (int s = 0; s < 40; ++s)
        a.tick({}, time_point{} + seconds{s}, random);
    EXPECT_EQ(a.size(), 0U);
}

} // namespace
} // namespace chivewharf::membership
