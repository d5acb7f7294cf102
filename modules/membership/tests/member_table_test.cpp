#include <membership/tests/domain_sim.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace chivewharf::membership {
namespace {

using testing::domain_sim;

constexpr std::uint64_t seed = 20261204;
constexpr duration startup_time = seconds{15};

void expect_kill_detected(std::size_t hosts, std::uint64_t case_seed)
{
    domain_sim sim{hosts, case_seed};
    sim.run(startup_time + milliseconds{case_seed % 1000});
    RC_ASSERT(sim.wrong_views() == 0U);
    sim[case_seed % hosts].up = false;
    sim.run(seconds{3});
    RC_ASSERT(sim.wrong_views() == 0U);
    RC_ASSERT(sim.count(member_change::removed) == hosts - 1);
}

// Guards against a failed host that remains a member on some host for more than 3 s, wherever in
// its heartbeat period it failed.
RC_GTEST_PROP(detection, killed_host_is_gone_everywhere_within_3_s, ())
{
    expect_kill_detected(3, *rc::gen::arbitrary<std::uint32_t>());
    expect_kill_detected(2, *rc::gen::arbitrary<std::uint32_t>());
}

// Guards against a detection time that exceeds 3 s in a large domain.
TEST(detection, killed_host_is_gone_within_3_s_of_48_hosts)
{
    for (std::uint64_t i = 0; i < 5; ++i)
        expect_kill_detected(48, seed + 7 * i);
}

// Guards against flapping: 5% message loss must not remove a live host, and the members must
// recover from a lost message about a change.
TEST(detection, no_removal_at_5_percent_loss_for_10_minutes)
{
    domain_sim sim{48, seed};
    sim.loss = 0.05;
    sim.run(seconds{600});
    EXPECT_EQ(sim.count(member_change::removed), 0U);
    EXPECT_GT(sim.count(member_change::suspected), 0U) << "the loss had no effect";
    EXPECT_EQ(sim.wrong_views(), 0U);
    sim[5].up = false;
    sim.run(seconds{8});
    EXPECT_EQ(sim.wrong_views(), 0U);
}

// Guards against the two sides of a healed partition that never merge, and against removals within
// a side: when the sides merge, the outdated table of one must not remove live hosts of the other.
TEST(partition, heals_without_removals_inside_a_side)
{
    domain_sim sim{48, seed};
    sim.run(startup_time);
    for (std::size_t i = 0; i < 24; ++i)
        sim[i].side = 1;
    sim.run(seconds{20});
    EXPECT_EQ(sim.wrong_views(), 0U);
    for (auto& n : sim.nodes())
        n.side = 0;
    sim.run(seconds{10});
    EXPECT_EQ(sim.wrong_views(), 0U);
    const auto removed_own_side = [&](const domain_sim::node& n, const member_event& e) {
        return (n.name < sim[24].name) == (e.host < sim[24].name);
    };
    EXPECT_EQ(sim.count(member_change::removed, removed_own_side), 0U);
    EXPECT_EQ(sim.count(member_change::removed), 2 * 24U * 24U);
    EXPECT_EQ(sim.count(member_change::returned), 2 * 24U * 24U);
}

// Guards against a host that loses its network and removes all others at once, or whose outdated
// view makes the others remove hosts after it reconnects.
TEST(partition, isolated_host_keeps_its_view_and_causes_no_removal_elsewhere)
{
    // Eight short network failures at different points of the heartbeat period: some hosts are
    // suspected just before the isolation is detected, and must not be removed when it ends. The
    // ninth run lasts longer than `isolation_hold`.
    for (int run = 0; run < 9; ++run) {
        const auto outage = run < 8 ? seconds{8} : seconds{90};
        domain_sim sim{16, seed};
        sim.run(startup_time + run * milliseconds{130});
        sim[3].side = 1;
        sim.run(seconds{8});
        EXPECT_EQ(sim[3].table->live_count(), 16U);
        EXPECT_TRUE(sim[3].table->isolated());
        EXPECT_EQ(sim[0].table->live_count(), 15U);
        sim.run(outage - seconds{8});
        EXPECT_EQ(sim[3].table->live_count(), outage == seconds{8} ? 16U : 1U);
        sim[3].side = 0;
        sim.run(seconds{10});
        EXPECT_EQ(sim.wrong_views(), 0U);
        EXPECT_FALSE(sim[3].table->isolated());
        EXPECT_EQ(sim.count(member_change::isolated), 1U);
        const auto others = [&](const domain_sim::node& n, const member_event& e) {
            return n.name != sim[3].name && e.host != sim[3].name;
        };
        EXPECT_EQ(sim.count(member_change::removed, others), 0U);
        if (outage == seconds{8}) {
            EXPECT_EQ(sim.count(member_change::removed), 15U)
                << "only host 3 is removed, by each of the others";
        }
    }
}

// Guards against views that stay different after a message about a change was lost, and against
// tables that are sent without need.
TEST(sources, differing_views_lead_to_a_table_exchange)
{
    rng random{seed};
    member_table a{{"d", "a", ""}, 1, {}};
    member_table b{{"d", "b", ""}, 2, {}};
    const auto later = time_point{} + milliseconds{900};
    ASSERT_TRUE(a.receive({"d", "b", ""}, 2, heartbeat{2, 1, 0}, {}));
    ASSERT_TRUE(b.receive({"d", "a", ""}, 1, heartbeat{1, 1, 0}, {}));
    const auto from_b = b.tick(later, random).sends.at(0);
    EXPECT_TRUE(a.receive({"d", "b", ""}, 2, from_b.message, later)->sends.empty());
    const auto out = *a.receive({"d", "b", ""}, 2, heartbeat{2, 1, 99}, later + seconds{2});
    ASSERT_EQ(out.sends.size(), 1U);
    const auto& table = std::get<member_report>(out.sends[0].message);
    EXPECT_TRUE(table.sync);
    EXPECT_EQ(table.entries.size(), 2U);
}

// Guards against a paused host that removes all others when it resumes, that is not taken back as a
// member, or that gets its full weight at once.
TEST(incarnations, paused_host_returns_with_the_same_incarnation)
{
    domain_sim sim{16, seed};
    sim.run(startup_time);
    const auto incarnation = sim[3].incarnation;
    sim[3].paused = true;
    sim.run(seconds{10});
    EXPECT_EQ(sim.wrong_views(), 0U);
    sim[3].paused = false;
    sim.run(seconds{3});
    EXPECT_EQ(sim.wrong_views(), 0U);
    EXPECT_EQ(sim[0].table->find(sim[3].name)->incarnation, incarnation);
    EXPECT_EQ(sim.count(member_change::returned), 15U);
    EXPECT_EQ(sim.count(member_change::removed), 15U);
    EXPECT_LT(sim[0].table->weight(sim[3].name, sim.now), 0.5);
    EXPECT_LT(sim[3].table->weight(sim[3].name, sim.now), 0.5);
    sim.run(seconds{10});
    EXPECT_EQ(sim[0].table->weight(sim[3].name, sim.now), 1);
}

// Guards against an old incarnation that remains a member, or becomes one again, after a restart
// under the same name.
TEST(incarnations, restart_replaces_the_old_incarnation_for_good)
{
    domain_sim sim{16, seed};
    sim.run(startup_time);
    const auto old = sim[3].incarnation;
    const auto stale = *sim[1].table->find(sim[3].name);
    sim.start(3);
    sim.run(seconds{3});
    EXPECT_EQ(sim.wrong_views(), 0U);
    EXPECT_EQ(sim.count(member_change::removed), 0U);
    EXPECT_LT(sim[0].table->weight(sim[3].name, sim.now), 0.5);
    EXPECT_EQ(sim[3].table->weight(sim[0].name, sim.now), 1);

    auto& table = *sim[0].table;
    const known_host sender{"d", sim[3].name, ""};
    const auto got = table.receive(sender, old, heartbeat{old, 99, 0}, sim.now);
    ASSERT_FALSE(got);
    EXPECT_EQ(got.error().code, membership_errc::superseded_sender);
    const member_report late{{{"d", sim[3].name, "", old, 99, member_state::live, 0, 0, {}}},
                             false};
    ASSERT_TRUE(table.receive({"d", sim[1].name, ""}, sim[1].incarnation, late, sim.now));
    EXPECT_EQ(table.find(sim[3].name)->incarnation, sim[3].incarnation);
    EXPECT_NE(stale.incarnation, sim[3].incarnation);

    // If the replaced process still runs, it is told to stop.
    member_table replaced{{"d", sim[3].name, ""}, old, sim.now};
    const report_entry current{"d", sim[3].name, "",   sim[3].incarnation, 1, member_state::live,
                               0,   0,           {old}};
    const auto told =
        replaced.receive({"d", sim[1].name, ""}, 1, member_report{{current}, false}, sim.now);
    EXPECT_EQ(told->events.back().change, member_change::superseded);
}

// Guards against a platform list that lags behind and adds or removes members, and against messages
// from outside the domain.
TEST(sources, lists_name_contacts_but_not_members)
{
    rng random{seed};
    member_table table{{"d", "a", ""}, 1, {}};
    table.set_platform_hosts({{"d", "b", "addr-b"}, {"e", "x", ""}, {"e", "y", ""}});
    table.set_configured_hosts({{"e", "z", ""}, {"d", "a", ""}});
    const auto out = table.tick({}, random);
    EXPECT_EQ(table.live_count(), 1U);
    ASSERT_EQ(out.sends.size(), 1U);
    EXPECT_EQ(out.sends[0].host, "b");
    ASSERT_TRUE(table.receive({"d", "b", "addr-b"}, 2, heartbeat{2, 1, 0}, {}));
    table.set_platform_hosts({});
    table.tick(time_point{} + milliseconds{100}, random);
    EXPECT_EQ(table.live_count(), 2U);
    EXPECT_EQ(table.hosts_of("e").size(), 1U);
    table.set_platform_hosts({{"e", "x", ""}, {"e", "y", ""}});
    EXPECT_EQ(table.hosts_of("e").size(), 3U);
    EXPECT_EQ(table.links_to("e").size(), 2U);
    EXPECT_EQ(table.other_domains(), std::vector<std::string>{"e"});
    EXPECT_EQ(table.receive({"e", "x", ""}, 3, heartbeat{}, {}).error().code,
              membership_errc::other_domain);
    EXPECT_EQ(table.receive({"d", "a", ""}, 3, heartbeat{}, {}).error().code,
              membership_errc::own_name);
}

} // namespace
} // namespace chivewharf::membership
