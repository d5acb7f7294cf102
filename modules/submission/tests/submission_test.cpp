#include <submission/submission.h>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace chivewharf::submission {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;
using testing::UnorderedElementsAre;

constexpr time_point start{seconds{1000}};
constexpr wall_ms wall_start = 1'700'000'000'000;

submission_id parsed(std::string_view text)
{
    return submission_id::parse(text).value();
}

submission_request make_request(const std::string& id, std::size_t tasks, bool idempotent = false)
{
    submission_request request;
    request.key = make_key("coldquay", id);
    request.customer = "coldquay";
    request.id = id;
    request.service = "plugdesk";
    request.idempotent = idempotent;
    request.digest = digest_body("body");
    request.deadline = start + seconds{2};
    request.tasks.assign(tasks, {"plug-check", milliseconds{100}, "payload"});
    return request;
}

attempt_result make_result(attempt_end end, reason why = reason::none)
{
    return {end, why, "ok", {}};
}

/// A table that holds one submission "a".
struct table_test : testing::Test {
    submission_table table;
    submission_key key = make_key("coldquay", "a");

    void admit(std::size_t tasks, bool idempotent = false, std::optional<waiter> who = 1)
    {
        ASSERT_EQ(table.admit(make_request("a", tasks, idempotent), who, start).kind,
                  receipt::admitted);
    }
    std::uint32_t send(std::uint32_t task) { return table.may_start(key, task, start).value(); }
    consequence finish(std::uint32_t task, std::uint32_t attempt, attempt_end end)
    {
        return table.finish_task(key, task, attempt, make_result(end), start);
    }
    reception resubmit(std::string_view body = "body", waiter who = 2)
    {
        return table.find(key, digest_body(body), who);
    }
};

// Guards against two texts for the same issued id, and against texts that hosts parse differently.
TEST(submission_id, only_the_canonical_form_is_issued)
{
    const issued_parts parts{"greenock", "entry.7", 0xabcULL, 1700000000, 12};
    EXPECT_EQ(format_issued(parts), "i.greenock.entry.7.0000000000000abc.1700000000.12");
    EXPECT_EQ(parsed(format_issued(parts)).issued(), parts);
    for (const auto* text : {"i.g.h.0000000000000abc.17.012", "i.g.h.0000000000000ABC.17.1",
                             "i.g.0000000000000abc.1.1", "i.g.h.abc.17.1",
                             "i..h.0000000000000abc.17.1", "i.g.h.0000000000000abc.-1.1",
                             "i.g.h.0000000000000abc.17.99999999999999999999", "i.", "x"})
        EXPECT_FALSE(parsed(text).issued()) << text;
    for (const auto& text : {std::string{}, std::string(129, 'a'), std::string{"a b"},
                             std::string{"a/b"}, std::string{"a\x7f"}, std::string{"\xc3\xa9"}})
        EXPECT_FALSE(submission_id::parse(text)) << text;
}

// Guards against a home domain that depends on the order of the settings, and against a customer's
// key such as "order:5" being routed to a domain that does not exist.
TEST(submission_id, home_domain_and_slot_are_stable)
{
    const std::vector<std::string> domains{"a", "b", "c"};
    const std::vector<std::string> rotated{"c", "a", "b"};
    EXPECT_EQ(parsed("b:x").home_domain("z", domains), "b");
    std::map<std::string_view, int> homes;
    std::set<unsigned> slots;
    for (int i = 0; i < 600; ++i) {
        const auto id = parsed("order:" + std::to_string(i));
        EXPECT_EQ(id.home_domain("z", domains), id.home_domain("z", rotated));
        ++homes[id.home_domain("z", domains)];
        slots.insert(id.slot("z"));
    }
    for (const auto& domain : domains)
        EXPECT_GT(homes[domain], 150);
    EXPECT_EQ(slots.size(), ownership_slots);
    EXPECT_NE(make_key("ab", "c"), make_key("a", "bc"));
}

// Guards against forged ids: with an altered issue time, an id would stay valid after its table
// entry expired, and a resubmission would start the work a second time.
TEST(id_issuer, recognises_only_its_own_unaltered_ids)
{
    auto issuer = id_issuer::make("greenock", "e7", 5).value();
    const auto first = parsed(issuer.issue(start, wall_start)).issued().value();
    const auto block = issuer.issue_block(3, start + seconds{5}, wall_start + 5000);
    const auto last = parsed(block.back()).issued().value();
    EXPECT_EQ(last.seq, 4U);
    EXPECT_EQ(issuer.check(first, start), id_standing::valid);
    EXPECT_EQ(issuer.check(last, start + seconds{6}), id_standing::valid);
    auto forged = first;
    forged.seconds += 5;
    EXPECT_EQ(issuer.check(forged, start), id_standing::not_issued);
    forged = last;
    forged.seq = 5;
    EXPECT_EQ(issuer.check(forged, start), id_standing::not_issued);
    forged = last;
    forged.incarnation = 6;
    EXPECT_EQ(issuer.check(forged, start), id_standing::other_incarnation);
    forged.host = "e8";
    EXPECT_EQ(issuer.check(forged, start), id_standing::other_host);
    EXPECT_EQ(issuer.check(first, start + seconds{300}), id_standing::expired);
    issuer.issue(start + seconds{400}, wall_start + 400'000);
    EXPECT_EQ(issuer.check(first, start + seconds{400}), id_standing::expired);
    EXPECT_FALSE(id_issuer::make("a.b", "h", 1));
    EXPECT_FALSE(id_issuer::make("d", std::string(100, 'h'), 1));
}

// Guards against an id whose lifetime is extended by a wall clock that stops or steps back.
TEST(id_issuer, age_follows_the_boot_clock)
{
    auto issuer = id_issuer::make("greenock", "e7", 5).value();
    const auto first = parsed(issuer.issue(start, wall_start)).issued().value();
    for (int s = 1; s <= 200; ++s)
        issuer.issue(start + seconds{s}, wall_start - wall_ms{1000} * s);
    const auto late = parsed(issuer.issue(start + seconds{250}, wall_start)).issued().value();
    EXPECT_EQ(late.seconds, first.seconds);
    EXPECT_EQ(issuer.check(first, start + seconds{301}), id_standing::expired);
    EXPECT_EQ(issuer.check(late, start + seconds{301}), id_standing::valid);
}

// Guards against an index that loses entries when others with nearby hashes are removed.
TEST(key_index, behaves_like_a_map)
{
    EXPECT_TRUE(rc::check("key_index against std::set", [](const std::vector<std::uint8_t>& steps) {
        std::vector<submission_key> keys;
        for (std::uint64_t i = 0; i < 256; ++i)
            keys.push_back({i, i % 7}); // few distinct hashes, so that probe sequences collide
        key_index index;
        std::set<std::uint32_t> model;
        const auto matches = [](const void* context, std::uint32_t record,
                                const submission_key& key) {
            return (*static_cast<const std::vector<submission_key>*>(context))[record] == key;
        };
        for (const std::uint32_t step : steps) {
            if (model.insert(step).second)
                index.insert(keys[step], step);
            else if (model.erase(step) != 0)
                index.erase(keys[step], step);
        }
        RC_ASSERT(index.size() == model.size());
        for (std::uint32_t i = 0; i < 256; ++i)
            RC_ASSERT(index.find(keys[i], matches, &keys).has_value() == model.contains(i));
    }));
}

// Guards against a resubmission that starts the work a second time, and against a waiter that never
// gets an answer.
TEST_F(table_test, resubmissions_join_and_get_the_kept_answer)
{
    admit(2);
    EXPECT_EQ(resubmit().kind, receipt::joined);
    EXPECT_EQ(table.admit(make_request("a", 2), 3, start).kind, receipt::joined);
    EXPECT_EQ(resubmit("body", 4).kind, receipt::joined);
    table.remove_waiter(key, 4);
    const auto other = resubmit("other body");
    EXPECT_EQ(other.reply->why, reason::id_body_mismatch);
    EXPECT_EQ(other.reply->work, work_state::not_run);
    EXPECT_EQ(table.find(make_key("zornitsa", "a"), digest_body("body"), 9).kind, receipt::unknown);

    const auto first = send(1);
    EXPECT_EQ(table.may_start(key, 1, start).error(), start_refusal::not_queued);
    EXPECT_FALSE(finish(1, first, attempt_end::done).reply);
    const auto effect = finish(0, send(0), attempt_end::done);
    ASSERT_TRUE(effect.reply);
    EXPECT_EQ(effect.reply->result, outcome::complete);
    EXPECT_THAT(effect.reply->payloads, ElementsAre("ok", "ok"));
    EXPECT_THAT(effect.waiters, ElementsAre(1, 2, 3));
    EXPECT_EQ(resubmit().reply, effect.reply);
    EXPECT_EQ(table.fetch(key, {}).reply, effect.reply);
    EXPECT_EQ(table.may_start(key, 0, start).error(), start_refusal::ended);
}

// Guards against a late or duplicate result, or one for another attempt or submission, that
// completes the current attempt.
TEST_F(table_test, results_match_one_attempt_only)
{
    admit(2);
    const auto attempt = send(0);
    EXPECT_TRUE(finish(0, attempt, attempt_end::not_run).queued_again);
    EXPECT_FALSE(finish(0, attempt, attempt_end::done).matched);
    const auto second = send(0);
    EXPECT_EQ(second, attempt + 1);
    EXPECT_FALSE(finish(0, attempt, attempt_end::done).matched);
    EXPECT_TRUE(finish(0, second, attempt_end::done).matched);
    EXPECT_FALSE(finish(0, second, attempt_end::done).matched);
    EXPECT_FALSE(finish(7, 1, attempt_end::done).matched);
    EXPECT_FALSE(table.finish_task(make_key("x", "y"), 0, 1, {}, start).matched);
    EXPECT_EQ(table.counters().late_results, 2U);
    EXPECT_EQ(table.counters().mismatched_results, 1U);
    EXPECT_EQ(table.counters().unknown_results, 2U);
}

// Guards against a failed submission that waits for its other tasks, starts more of them, or is
// answered a second time when they end.
TEST_F(table_test, first_failure_answers_at_once)
{
    admit(4);
    const auto admitted_bytes = table.payload_bytes();
    const auto ran = send(0);
    const auto failing = send(1);
    const auto in_flight = send(2);
    finish(0, ran, attempt_end::done);
    const auto effect = finish(1, failing, attempt_end::failed);
    ASSERT_TRUE(effect.reply);
    EXPECT_EQ(effect.reply->why, reason::task_failed);
    EXPECT_EQ(effect.reply->work, work_state::may_have_run);
    EXPECT_EQ(effect.reply->counts, (work_counts{2, 1, 1}));
    EXPECT_THAT(effect.reply->payloads, IsEmpty());
    EXPECT_THAT(effect.dropped_tasks, ElementsAre(3));
    EXPECT_EQ(table.may_start(key, 3, start).error(), start_refusal::ended);
    const auto late = finish(2, in_flight, attempt_end::done);
    EXPECT_TRUE(late.matched);
    EXPECT_FALSE(late.reply);
    EXPECT_EQ(resubmit().reply, effect.reply);
    EXPECT_LE(table.payload_bytes(), admitted_bytes - 4 * std::string_view{"payload"}.size());
    table.tick(start + seconds{60});
    EXPECT_EQ(table.payload_bytes(), 0U);
}

// Guards against a second start of a task whose result was lost, so that it may have run, for each
// kind of submission.
TEST_F(table_test, only_a_single_idempotent_task_is_sent_again_after_a_loss)
{
    for (const bool idempotent : {false, true}) {
        for (const std::size_t tasks : {1U, 2U}) {
            table = submission_table{};
            admit(tasks, idempotent);
            const auto effect = finish(0, send(0), attempt_end::lost);
            const bool retried = idempotent && tasks == 1;
            EXPECT_EQ(effect.queued_again, retried);
            if (!retried) {
                EXPECT_EQ(effect.reply->why, reason::answer_lost);
                continue;
            }
            finish(0, send(0), attempt_end::not_run);
            const auto spent = table.fail(key, reason::retry_budget_spent, {}, start);
            EXPECT_EQ(spent.reply->work, work_state::may_have_run) << "the first attempt may run";
        }
    }
}

// Guards against a cancelled submission that reports "not run" for tasks already sent, or starts
// further tasks.
TEST_F(table_test, cancel_drops_queued_and_leaves_sent_tasks)
{
    admit(3);
    send(1);
    auto effect = table.cancel(key, start);
    EXPECT_EQ(effect.reply->why, reason::cancelled);
    EXPECT_EQ(effect.reply->counts, (work_counts{0, 2, 1}));
    EXPECT_THAT(effect.dropped_tasks, UnorderedElementsAre(0, 2));
    EXPECT_THAT(effect.abort_tasks, IsEmpty());
    EXPECT_FALSE(table.cancel(key, start).matched);

    table = submission_table{};
    admit(2, true);
    send(1);
    EXPECT_THAT(table.cancel(key, start).abort_tasks, ElementsAre(1));

    table = submission_table{};
    admit(2);
    finish(1, send(1), attempt_end::not_run);
    EXPECT_EQ(table.cancel(key, start).reply->work, work_state::not_run);
}

// Guards against a submission that is admitted, started or completed after its deadline.
TEST_F(table_test, deadline_is_checked_three_times)
{
    const auto late = start + seconds{2};
    EXPECT_EQ(table.admit(make_request("a", 1), 1, late).reply->why, reason::deadline_passed);
    EXPECT_FALSE(table.holds(key));
    admit(2);
    const auto attempt = send(0);
    EXPECT_EQ(table.may_start(key, 1, late).error(), start_refusal::deadline_passed);
    const auto effect = table.finish_task(key, 0, attempt, make_result(attempt_end::done), late);
    EXPECT_EQ(effect.reply->why, reason::deadline_passed);
    EXPECT_EQ(effect.reply->counts, (work_counts{1, 1, 0}));
}

// Guards against an id that is forgotten too early, a tick that does unbounded work, and a
// tombstone that claims "not run" for work that may have run.
TEST_F(table_test, expires_in_bounded_steps)
{
    admit(1);
    send(0);
    for (const auto* id : {"b", "c"})
        table.admit(make_request(id, 1), {}, start);
    const auto end = start + seconds{2};
    EXPECT_EQ(table.next_due(), end);
    EXPECT_EQ(table.tick(end, 2).size(), 2U);
    EXPECT_EQ(table.tick(end, 2).size(), 1U);
    EXPECT_EQ(resubmit().reply->why, reason::deadline_passed);
    EXPECT_EQ(table.next_due(), end + seconds{60});
    table.tick(end + seconds{60});
    EXPECT_EQ(resubmit().reply->why, reason::id_expired);
    EXPECT_EQ(resubmit().reply->work, work_state::may_have_run);
    EXPECT_EQ(table.fetch(make_key("coldquay", "b"), {}).reply->work, work_state::not_run);
    EXPECT_EQ(resubmit("other body").reply->why, reason::id_body_mismatch);
    EXPECT_EQ(finish(0, 1, attempt_end::done).matched, false);
    EXPECT_EQ(table.next_due(), end + seconds{300});
    table.tick(end + seconds{300} - milliseconds{1});
    EXPECT_EQ(table.size(), 3U);
    table.tick(end + seconds{300});
    EXPECT_EQ(table.size(), 0U);
    EXPECT_EQ(table.next_due(), std::nullopt);
    admit(1);
}

// Guards against unbounded growth of the table through entries, bodies or answers.
TEST_F(table_test, is_bounded_in_entries_and_bytes)
{
    table = submission_table{{.max_entries = 2, .max_bytes = 6000, .answer_reserve = 1000}};
    auto large = make_request("b", 1);
    large.tasks[0].payload.assign(5000, 'x');
    EXPECT_EQ(table.admit(large, 1, start).reply->why, reason::table_full);
    admit(1);
    const auto oversized = table.finish_task(
        key, 0, send(0), {attempt_end::done, reason::none, std::string(6000, 'x'), {}}, start);
    EXPECT_EQ(oversized.reply->why, reason::answer_too_large);
    EXPECT_EQ(oversized.reply->work, work_state::ran);
    EXPECT_EQ(table.admit(make_request("b", 1), 1, start).kind, receipt::admitted);
    const auto full = table.admit(make_request("c", 1), 1, start).reply;
    EXPECT_EQ(full->why, reason::table_full);
    EXPECT_EQ(full->work, work_state::not_run);
}

// Guards against a successor that starts work a second time that its predecessor started.
TEST_F(table_test, handed_over_ids_are_held_by_the_successor)
{
    auto request = make_request("a", 1);
    request.slot = 3;
    table.admit(request, 1, start);
    finish(0, send(0), attempt_end::done);
    EXPECT_THAT(table.export_slot(4), IsEmpty());
    const auto records = table.export_slot(3);
    ASSERT_EQ(records.size(), 1U);
    submission_table successor;
    EXPECT_TRUE(successor.import(records[0], start));
    const auto resubmission = successor.admit(request, 1, start);
    EXPECT_EQ(resubmission.reply->why, reason::id_expired);
    EXPECT_EQ(resubmission.reply->work, work_state::ran);
}

// Guards against tombstones that exceed the budget of 100 bytes each. With this count the index has
// just doubled its slots, which is the worst case.
TEST(submission_table, tombstone_costs_under_100_bytes)
{
    submission_table table;
    for (std::uint64_t i = 0; i < 200'000; ++i)
        table.import({{i, i * 0x9e3779b97f4a7c15ULL}, {}, reason::none, work_state::ran, 1}, start);
    EXPECT_LT(static_cast<double>(table.held_bytes()) / static_cast<double>(table.size()), 100.0);
}

} // namespace
} // namespace chivewharf::submission
