#include "harness.h"

#include <algorithm>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <random>
#include <rapidcheck/gtest.h>

namespace chivewharf::dispatch {
namespace {

using nlohmann::json;

/// The default policy with lease, renewal, promise, quarantine and id lifetime divided by 15, so
/// that leases expire within a history.
constexpr const char* short_policy =
    R"(settings {"policy": {"lease_ms": 3000, "lease_renew_ms": 1000, "promise_ms": 670, )"
    R"("promise_renew_ms": 200, "claim_margin_ms": 40, "id_lifetime_ms": 20000, )"
    R"("answer_keep_ms": 4000, "unreadable_log_limit_ms": 300000, "new_seat_wait_ms": 360000}})";

/// Command that publishes a configuration with this limit on the queue of `plug`.
std::string queue_limit(std::size_t tasks)
{
    return R"(config {"services": [{"name": "plug", "idempotent": false, "max_queued": )" +
           std::to_string(tasks) + R"(}, {"name": "poll", "idempotent": true}]})";
}

struct history_options {
    bool ignore_confirm = false;
    bool old_links_deliver = false;
};

/// Translates random numbers into commands of the harness and checks invariants after each.
class history {
public:
    explicit history(history_options options)
    {
        hosts_.quiet = true;
        hosts_.step = milliseconds{100};
        hosts_.ignore_confirm = options.ignore_confirm;
        hosts_.old_links_deliver = options.old_links_deliver;
        run(short_policy);
        for (const auto* name : {"n1", "n2", "s1"})
            run(std::string{"host "} + name);
        run("advance 3600");
        hosts_.step = milliseconds{50};
    }

    void run(const std::string& line)
    {
        lines_ += "> " + line + '\n';
        hosts_.run(line);
        check_starts();
    }

    void step(std::uint32_t number)
    {
        std::mt19937 random{number};
        const auto pick = [&random](std::size_t n) { return random() % n; };
        const std::vector<std::string> names{"n1", "n2", "s1"};
        const auto& host = names[pick(3)];
        const auto& other =
            names[(pick(2) + 1 + static_cast<std::size_t>(host[0] == 's' ? 2 : host[1] - '1')) % 3];
        const std::vector<std::string> ids{"$I0", "$I1", "$I2", "north:k0", "north:k1", "south:k2"};
        const auto& id = ids[pick(ids.size())];
        const auto waiter = 'w' + std::to_string(++waiters_);
        const auto wait = " wait=" + std::to_string(100 + pick(900));
        const auto kind = pick(40);
        if (kind < 12) {
            const auto digit = static_cast<unsigned>(id.back() - '0');
            const auto* work = digit == 0   ? " plug 800 a"
                               : digit == 1 ? " poll 900 a"
                                            : " plug 1000 a,b,c";
            run("submit " + host + ' ' + waiter + ' ' + id + work + wait);
        }
        else if (kind < 14)
            run("issue " + host + " I" + std::to_string(pick(3)));
        else if (kind == 14)
            run("fetch " + host + ' ' + waiter + ' ' + id + wait);
        else if (kind == 15)
            run("cancel " + host + ' ' + waiter + ' ' + id + wait);
        else if (kind < 22)
            end_random_call(pick(1000), pick(20));
        else if (kind < 26)
            run("advance " + std::to_string(50 + pick(300)));
        else if (kind == 26)
            run("advance " + std::to_string(1000 + pick(3000)));
        else if (kind == 27) {
            run("kill " + host);
            run("host " + host);
        }
        else if (kind < 30)
            run((pick(2) == 0 ? "pause " : "resume ") + host);
        else if (kind < 32)
            run((pick(2) == 0 ? "unlink " : "link ") + host + ' ' + other);
        else if (kind < 35) {
            const std::vector<std::string> verbs{"hold", "hold", "release", "drop", "repeat"};
            run(verbs[pick(verbs.size())] + ' ' + host + ' ' + other);
        }
        else if (kind == 35)
            run((pick(3) == 0 ? "stale " : "relink ") + host + ' ' + other);
        else if (kind == 36)
            run(std::vector<std::string>{"log down", "log lost", "log up", "cutlog " + host,
                                         "joinlog " + host}[pick(5)]);
        else if (kind == 37)
            run(queue_limit(1 + pick(50)));
        else {
            run("drain " + host);
            run("advance 50");
            run("handover " + host);
        }
    }

    /// Ends all faults and checks that every request is answered and every host serves requests
    /// again.
    void finish()
    {
        hosts_.step = milliseconds{100};
        run("log up");
        for (const auto* name : {"n1", "n2", "s1"}) {
            run(std::string{"resume "} + name);
            run(std::string{"joinlog "} + name);
            for (const auto* other : {"n1", "n2", "s1"})
                run(std::string{"release "} + name + ' ' + other);
        }
        run("link n1 n2");
        run("link n1 s1");
        run("link n2 s1");
        for (const auto* name : {"n1", "n2", "s1"}) {
            if (draining(name)) {
                run(std::string{"kill "} + name);
                run(std::string{"host "} + name);
            }
        }
        for (int i = 0; i < 7; ++i) {
            end_all_calls();
            run("advance 500");
        }
        check_answers();
        for (const auto* name : {"n1", "n2", "s1"})
            serves_again(name);
        end_all_calls();
        run("advance 1500");
        for (const auto* name : {"n1", "n2", "s1"}) {
            if (hosts_.host(name)->in_flight() != 0)
                fail(std::string{name} + " keeps work in flight");
        }
    }

    const std::string& failure() const { return failure_; }
    const std::string& lines() const { return lines_; }
    std::size_t starts() const { return hosts_.starts().size(); }

private:
    void fail(const std::string& text)
    {
        if (failure_.empty())
            failure_ = text;
    }

    bool draining(const std::string& name)
    {
        return json::parse(hosts_.host(name)->status_json()).value("draining", false);
    }

    void end_random_call(std::size_t which, std::size_t how)
    {
        if (hosts_.calls().empty())
            return;
        auto call = hosts_.calls().begin();
        std::advance(call, which % hosts_.calls().size());
        static const std::vector<std::string> ends{
            "answered", "answered", "answered", "answered", "answered", "answered", "failed",
            "refused",  "refused",  "not_sent", "lost",     "lost",     "silent",   "truncated"};
        const auto name = call->first;
        if (how >= ends.size() || ends[how] != "not_sent")
            run("start " + name);
        const auto open = hosts_.calls().find(name);
        if (how < ends.size() && open != hosts_.calls().end())
            run("end " + name + ' ' + ends[how]);
    }

    void end_all_calls()
    {
        std::vector<std::string> names;
        for (const auto& [name, call] : hosts_.calls())
            names.push_back(name);
        for (const auto& name : names)
            run("end " + name + " answered");
    }

    void check_starts()
    {
        if (!hosts_.violation().empty())
            fail(hosts_.violation());
        for (const auto& [task, count] : hosts_.starts()) {
            // Only `poll` is idempotent, and its submissions have one task, so only it may be
            // restarted.
            const auto ambiguous = hosts_.ambiguous().find(task);
            const auto allowed = ambiguous == hosts_.ambiguous().end() ? 0 : ambiguous->second;
            const bool poll = polls_.contains(task) || is_poll(task);
            if (count > 1 + (poll ? allowed : 0))
                fail("task " + task + " started " + std::to_string(count) + " times");
        }
    }

    /// True if the task belongs to a submission to the idempotent service.
    bool is_poll(const std::string& task)
    {
        for (const auto& [name, request] : hosts_.requests()) {
            if (request.text.starts_with("submit") && "acme " + request.id + "/0" == task &&
                request.text.find(" poll ") != std::string::npos)
                return polls_.insert(task).second || true;
        }
        return false;
    }

    bool started(const std::string& id) const
    {
        const auto from = hosts_.starts().lower_bound("acme " + id + '/');
        return from != hosts_.starts().end() && from->first.starts_with("acme " + id + '/');
    }

    void check_answers()
    {
        std::map<std::string, std::string> finals;
        // By submission id: true if a request had no answer, or a `submit` one other than
        // `not_run`.
        std::map<std::string, bool> possibly_run;
        for (const auto& [name, request] : hosts_.requests()) {
            const bool submit = request.text.starts_with("submit");
            if (request.answers.size() > 1)
                fail(name + " has two answers");
            if (request.answers.empty()) {
                if (!request.abandoned)
                    fail(name + " has no answer: " + request.text);
                possibly_run[request.id] = true;
                continue;
            }
            const auto body = json::parse(request.answers.front().body);
            const std::string outcome = body["outcome"];
            const bool not_run = body["work"] == "not_run" && body["reason"] != "id_body_mismatch";
            if (submit)
                possibly_run[request.id] = possibly_run[request.id] || !not_run;
            if (outcome == "complete")
                check_payloads(request.id, body["tasks"]);
            if (outcome != "complete" && outcome != "failed")
                continue;
            const auto [known, added] = finals.emplace(request.id, request.answers.front().body);
            if (!added && known->second != request.answers.front().body)
                fail("two final answers: " + known->second + " and " +
                     request.answers.front().body);
        }
        for (const auto& [id, may_have_run] : possibly_run) {
            if (!may_have_run && started(id))
                fail(id + " was answered not_run and started");
        }
    }

    void check_payloads(const std::string& id, const json& tasks)
    {
        for (std::size_t i = 0; i < tasks.size(); ++i) {
            const auto returned = hosts_.payloads().find("acme " + id + '/' + std::to_string(i));
            const auto payload = tasks[i]["payload"].dump();
            if (returned == hosts_.payloads().end() ||
                std::count(returned->second.begin(), returned->second.end(), payload) == 0)
                fail("the answer of " + id + " has a payload that no runner returned");
        }
    }

    void serves_again(const std::string& name)
    {
        for (int attempt = 0; attempt < 10; ++attempt) {
            std::string waiter{"z"};
            waiter.append(name).append(std::to_string(attempt));
            run("issue " + name + " Z");
            std::string submit{"submit "};
            submit.append(name).append(" ").append(waiter).append(" $Z plug 900 a wait=900");
            run(submit);
            for (int i = 0; i < 3; ++i) {
                run("advance 100");
                end_all_calls();
            }
            const auto& answers = hosts_.requests().at(waiter).answers;
            if (!answers.empty() && answers.front().status == 200)
                return;
            last_answer_ = answers.empty() ? "no answer" : answers.front().body;
            run("advance 700");
        }
        fail(name + " does not serve again: " + last_answer_);
    }

    harness hosts_;
    std::set<std::string> polls_;
    std::string lines_;
    std::string failure_;
    std::string last_answer_;
    std::uint64_t waiters_ = 0;
};

/// First violated invariant in the history generated from these numbers; empty if none.
std::string first_violation(const std::vector<std::uint32_t>& steps, history_options options = {})
{
    history checked{options};
    for (const auto number : steps) {
        checked.step(number);
        if (!checked.failure().empty())
            break;
    }
    if (checked.failure().empty())
        checked.finish();
    return checked.failure().empty() ? "" : checked.failure() + "\n" + checked.lines();
}

// Guards against faults in the interaction of complete entry hosts: a task that is started twice,
// not_run reported for a task that ran, mixed-up answers, a lost waiter, or a host that stays
// stuck.
RC_GTEST_PROP(histories, invariants_hold, ())
{
    const auto steps = *rc::gen::resize(
        40, rc::gen::container<std::vector<std::uint32_t>>(rc::gen::arbitrary<std::uint32_t>()));
    const auto violation = first_violation(steps);
    if (!violation.empty())
        RC_FAIL(violation);
}

/// First violated invariant in a history of these commands; empty if none.
std::string first_violation_of_commands(const std::vector<std::string>& lines,
                                        history_options options)
{
    history checked{options};
    for (const auto& line : lines)
        checked.run(line);
    checked.finish();
    return checked.failure();
}

// Guards against invariants that cannot fail: without the check right before the start, a host that
// was paused beyond the end of its lease starts a task in a slot that another host owns.
TEST(mutations, a_start_without_the_check_is_noticed)
{
    const std::vector<std::string> lines{"submit n1 w1 north:k2 plug 1000 a wait=500", "pause n1",
                                         "advance 9000", "resume n1", "start c1"};
    EXPECT_EQ(first_violation_of_commands(lines, {}), "");
    EXPECT_THAT(first_violation_of_commands(lines, {.ignore_confirm = true}),
                testing::HasSubstr("whose slot another host owns"));
}

// Guards against invariants that miss a request delivered over a replaced link: the task starts,
// although the resend on the new link was refused and the caller was told that it did not run.
TEST(mutations, an_old_link_that_delivers_is_noticed)
{
    const std::vector<std::string> lines{queue_limit(1),
                                         "advance 300",
                                         "issue n1 A",
                                         "issue n1 B",
                                         "submit n1 w1 $A plug 1000 a wait=500",
                                         "submit n1 w2 $A plug 1000 a wait=500",
                                         "hold n2 n1",
                                         "submit n2 w3 $B plug 1000 a,b,c wait=900",
                                         "relink n1 n2",
                                         "release n2 n1",
                                         queue_limit(100),
                                         "advance 300",
                                         "stale"};
    EXPECT_EQ(first_violation_of_commands(lines, {}), "");
    EXPECT_THAT(first_violation_of_commands(lines, {.old_links_deliver = true}),
                testing::HasSubstr("was answered not_run and started"));
}

} // namespace
} // namespace chivewharf::dispatch
