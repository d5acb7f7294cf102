#include <algorithm>
#include <dispatch/entry_host.h>
#include <gtest/gtest.h>

namespace chivewharf::dispatch {
namespace {

settings::cluster_settings two_domains()
{
    settings::cluster_settings cluster;
    cluster.site = "test";
    cluster.key_domains = {"near", "far"};
    cluster.domains = {{"near", "r"}, {"far", "r"}};
    cluster.entry_hosts = {{"a", "near", {"127.0.0.1", 1}, 1}, {"b", "far", {"127.0.0.1", 2}, 1}};
    cluster.customers.emplace_back();
    cluster.customers.front().name = "plan";
    cluster.services.push_back({"plugdesk"});
    return cluster;
}

/// Entry host "a" of the domain "near" with a working log.
struct host_under_test {
    metrics::registry metrics;
    clock_reading now{time_point{seconds{1000}}, 1'700'000'000'000};
    entry_host core{{"near", "a", 7},
                    "127.0.0.1:1",
                    std::make_shared<const settings::cluster_settings>(two_domains()),
                    metrics,
                    1,
                    now.boot};
    ownership::log_read log;
    std::uint64_t next_offset = 0;

    host_under_test() { core.use_initial_settings(now); }

    std::vector<action> pass(duration step)
    {
        now.boot += step;
        now.wall += to_ms(step);
        core.tick(now);
        return core.take_actions();
    }

    /// Advances time until the host has claimed all slots of its domain.
    void own_slots()
    {
        for (int i = 0; i < 400; ++i) {
            ownership::log_read read;
            read.requested_at = now.boot;
            read.reached_end = true;
            for (auto& one : pass(milliseconds{250})) {
                if (const auto* append = std::get_if<append_record>(&one))
                    read.records.push_back({next_offset++, append->text});
            }
            core.ownership_read(read, now);
        }
        (void)core.take_actions();
    }

    std::size_t forwards_to(const std::string& host)
    {
        const auto actions = core.take_actions();
        return static_cast<std::size_t>(
            std::count_if(actions.begin(), actions.end(), [&](const auto& one) {
                const auto* sent = std::get_if<send_peer>(&one);
                return sent != nullptr && sent->host == host &&
                       std::holds_alternative<wire::forward>(sent->message);
            }));
    }
};

caller_request submission_for(const std::string& id)
{
    return {1, wire::operation::submit, "plan", id, R"({"service":"plugdesk","tasks":[{}]})", {}};
}

// Guards against a lost request: it was sent on a link that had stopped responding and was not
// resent on the link that replaced it, so the caller never got an answer.
TEST(forwarded_submission, is_asked_again_on_each_new_link)
{
    host_under_test host;
    host.core.peer_up("b", host.now);
    host.core.request(submission_for("i.far.b.0000000000000001.1700000000.1"), host.now);
    EXPECT_EQ(host.forwards_to("b"), 1U);
    host.pass(seconds{2});
    host.core.peer_up("b", host.now);
    EXPECT_EQ(host.forwards_to("b"), 1U);
}

// Guards against a second start (P1): in the soak, a submission was resent after the owner had
// forgotten its id.
TEST(forwarded_submission, is_not_asked_again_after_half_of_the_id_lifetime)
{
    host_under_test host;
    auto asked = submission_for("i.far.b.0000000000000001.1700000000.1");
    asked.wait = host.core.settings().policy.id_lifetime * 2;
    host.core.peer_up("b", host.now);
    host.core.request(std::move(asked), host.now);
    EXPECT_EQ(host.forwards_to("b"), 1U);
    host.pass(host.core.settings().policy.id_lifetime / 2 + seconds{1});
    host.core.peer_up("b", host.now);
    EXPECT_EQ(host.forwards_to("b"), 0U);
}

// Guards against a caller that never gets an answer: in the soak, every new link extended the wait
// of a forwarded submission.
TEST(forwarded_submission, waits_no_longer_because_links_change)
{
    host_under_test host;
    host.core.peer_up("b", host.now);
    host.core.request(submission_for("i.far.b.0000000000000001.1700000000.1"), host.now);
    (void)host.core.take_actions();
    bool answered = false;
    for (int i = 0; i < 70 && !answered; ++i) {
        for (const auto& one : host.pass(seconds{1}))
            answered = answered || std::holds_alternative<answer_caller>(one);
        host.core.peer_up("b", host.now);
        for (const auto& one : host.core.take_actions())
            answered = answered || std::holds_alternative<answer_caller>(one);
    }
    EXPECT_TRUE(answered);
}

std::string fetch(host_under_test& host, const std::string& id)
{
    host.core.request({9, wire::operation::fetch, "plan", id, {}, {}}, host.now);
    for (const auto& one : host.core.take_actions()) {
        if (const auto* answer = std::get_if<answer_caller>(&one))
            return answer->answer.body;
    }
    return "no answer";
}

// Guards against a false "not run" (P4): an owner that dropped an id chosen by the caller after the
// id lifetime cannot know whether its submission ran.
TEST(unknown_submission, with_a_caller_chosen_id_may_have_run)
{
    host_under_test host;
    host.own_slots();
    const auto body = fetch(host, "near:old");
    EXPECT_NE(body.find(R"("reason":"unknown_submission")"), std::string::npos) << body;
    EXPECT_NE(body.find(R"("work":"may_have_run")"), std::string::npos) << body;
}

// Guards against "may have run" for an issued id that was never submitted: while the id is valid,
// its table entry cannot have expired, so a missing entry means that nothing ran.
TEST(unknown_submission, of_a_valid_issued_id_did_not_run)
{
    host_under_test host;
    const auto body = fetch(host, host.core.issue_ids(1, host.now).front());
    EXPECT_NE(body.find(R"("work":"not_run")"), std::string::npos) << body;
}

} // namespace
} // namespace chivewharf::dispatch
