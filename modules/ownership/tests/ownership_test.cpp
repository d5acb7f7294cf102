#include <ownership/ownership.h>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace chivewharf::ownership {
namespace {

using testing::Contains;
using testing::IsEmpty;

constexpr time_point start{seconds{10'000}};
constexpr auto claim_wait = milliseconds{45'950};
const incarnation_id own{"e1", 0x11};
const incarnation_id other{"e2", 0x22};
const incarnation_id third{"e3", 0x33};

ownership_record claim(unsigned slot, std::uint64_t epoch, const incarnation_id& owner)
{
    return {"r", claim_record{{slot, epoch}, owner}};
}

/// One slot owner and a log that others write, too.
struct slot_owner_test : testing::Test {
    std::vector<std::string> log;
    slot_owner core{own, start};
    time_point now = start;

    slot_owner_test() { core.set_configured_hosts({"e2", "e3"}, start); }

    void write(const ownership_record& record) { log.push_back(encode(record)); }
    ownership_changes read(std::uint64_t first = 0)
    {
        log_read result{now, first, {}, true};
        for (auto i = std::max(first, core.log().next_offset()); i < log.size(); ++i)
            result.records.emplace_back(i, log[i]);
        return core.on_log(result, now);
    }
    /// Writes all appends except claims of slots other than 0.
    ownership_actions poll()
    {
        auto actions = core.poll(now);
        for (const auto& append : actions.appends) {
            const auto record = decode(append.text).value();
            const auto* claimed = std::get_if<claim_record>(&record.body);
            if (claimed != nullptr && claimed->at.slot != 0)
                core.on_append(append.record_id, append_outcome::not_written, now);
            else
                log.push_back(append.text);
        }
        return actions;
    }
    bool claims() { return !poll().appends.empty(); }
    void advance(duration d) { now += d; }
    slot_verdict verdict() const { return core.may_admit(0, now); }
    /// Owns slot 0 at epoch 1 with a lease that starts now.
    void own_first()
    {
        advance(seconds{11});
        read();
        poll();
        read();
        ASSERT_EQ(verdict(), slot_verdict::proved);
    }
    void promise_from(const std::string& seat, const promise_request& request)
    {
        core.on_promise({seat, request.slots, request.asked_at}, now);
    }
};

// Guards against readers that disagree because one of them accepts a malformed record.
TEST(ownership_record, decoding_is_strict)
{
    for (const auto& record :
         {claim(3, 7, own), ownership_record{"x", renew_record{own, {{1, 2}, {63, 4}}}},
          ownership_record{"y", handover_record{{{5, 6}, {7, 1}}, own, other}}})
        EXPECT_EQ(decode(encode(record)).value(), record);
    const std::string tail = R"("record_id":"r","host":"e","incarnation":"0000000000000011")";
    const auto claim_text = [&](const std::string& members) {
        return R"({"type":"claim",)" + members + "," + tail + "}";
    };
    EXPECT_TRUE(decode(claim_text(R"("slot":1,"epoch":2)")));
    for (const auto* members :
         {R"("slot":64,"epoch":2)", R"("slot":1,"epoch":0)", R"("slot":1.0,"epoch":2)",
          R"("slot":-1,"epoch":2)", R"("slot":1,"epoch":2,"more":1)", R"("slot":1)",
          R"("slot":1,"epoch":2,"epoch":3)", R"("slot":1,"epoch":18446744073709551615)"})
        EXPECT_FALSE(decode(claim_text(members))) << members;
    for (const auto* slots : {"[]", "[[1,2],[1,3]]", "[[1]]", "[1,2]", "{}"})
        EXPECT_FALSE(decode(R"({"type":"renew","slots":)" + std::string{slots} + "," + tail + "}"));
    for (const auto* text : {"", "[]", "{}", "null", R"({"type":1,"record_id":"r"})", "{\"type\":"})
        EXPECT_FALSE(decode(text)) << text;
}

// Guards against two owners of one epoch, and against an old owner's record that takes effect.
TEST(ownership_log_state, first_record_with_the_right_epoch_wins)
{
    ownership_log_state state;
    std::uint64_t offset = 0;
    const auto effects = [&](const ownership_record& r) {
        return state.apply(offset++, encode(r)).slots.size();
    };
    EXPECT_EQ(effects(claim(0, 1, own)), 1U);
    EXPECT_EQ(effects(claim(0, 1, other)), 0U);
    EXPECT_EQ(state.slot(0).owner, own);
    EXPECT_EQ(effects({"r", renew_record{own, {{0, 1}, {1, 1}}}}), 1U);
    EXPECT_EQ(effects(claim(0, 2, other)), 1U);
    EXPECT_EQ(effects({"r", renew_record{own, {{0, 1}}}}), 0U);
    EXPECT_EQ(effects({"r", handover_record{{{0, 2}}, own, third}}), 0U);
    EXPECT_EQ(effects({"r", handover_record{{{0, 2}}, other, third}}), 1U);
    EXPECT_EQ(effects({"r", handover_record{{{0, 2}}, other, third}}), 0U) << "duplicate record";
    EXPECT_EQ(state.slot(0), (slot_state{3, third, true}));
    EXPECT_FALSE(state.apply(offset++, "not json").record);
    EXPECT_THAT(state.apply(0, encode(claim(0, 4, own))).slots, IsEmpty()) << "read before";
    EXPECT_TRUE(state.complete());
}

// Guards against a reader without the start of the log that claims with an epoch which the others
// reject, and so believes that it owns the slot alone.
TEST(ownership_log_state, claim_after_lost_records_is_accepted_by_all_readers)
{
    ownership_log_state full;
    ownership_log_state partial;
    std::vector<std::string> log;
    for (std::uint64_t epoch = 1; epoch <= 5; ++epoch)
        log.push_back(encode(claim(0, epoch, other)));
    log.push_back(encode({"r", renew_record{other, {{0, 5}}}}));
    for (std::size_t i = 0; i < log.size(); ++i)
        full.apply(i, log[i]);
    EXPECT_TRUE(partial.note_first(5));
    EXPECT_EQ(partial.claim_epoch(0), 6U);
    partial.apply(5, log[5]);
    EXPECT_EQ(partial.slot(0), full.slot(0));
    EXPECT_EQ(partial.claim_epoch(1), 7U);
    const auto late = encode(claim(1, partial.claim_epoch(1), own));
    EXPECT_EQ(partial.apply(6, late).slots, full.apply(6, late).slots);
    EXPECT_THAT(partial.apply(7, late).first_owned, IsEmpty());
    EXPECT_FALSE(partial.complete());
}

// Guards against a claim that takes effect before it was read back, and against quarantine of a
// slot that never had an owner.
TEST_F(slot_owner_test, claim_counts_only_once_read_back)
{
    advance(seconds{10});
    read();
    EXPECT_FALSE(claims()) << "may have promised before a restart";
    advance(milliseconds{100});
    read();
    ASSERT_TRUE(claims());
    EXPECT_EQ(verdict(), slot_verdict::not_owner);
    advance(seconds{3});
    read();
    EXPECT_EQ(verdict(), slot_verdict::proved);
    EXPECT_EQ(core.proved_until(0), start + milliseconds{10'100} + seconds{45});
    EXPECT_EQ(core.may_start(0, 1, now), slot_verdict::proved);
    EXPECT_EQ(core.may_start(0, 2, now), slot_verdict::unproved);
}

// Guards against a start past the lease, and against a renewal that counts from its reading.
TEST_F(slot_owner_test, lease_runs_from_before_the_append)
{
    own_first();
    const auto lease_start = now;
    advance(seconds{15});
    ASSERT_EQ(poll().appends.size(), 1U) << "only the renewal, the view is too old for claims";
    advance(seconds{29});
    EXPECT_EQ(verdict(), slot_verdict::proved);
    advance(seconds{1});
    EXPECT_EQ(verdict(), slot_verdict::unproved);
    read();
    EXPECT_EQ(core.proved_until(0), lease_start + seconds{60});
    log.push_back(log.back());
    advance(seconds{20});
    read();
    EXPECT_EQ(verdict(), slot_verdict::unproved) << "a duplicate record extends nothing";
}

// Guards against a claim before the owner's lease lapsed by the slowest clock, and against a claim
// based on an old view of the log.
TEST_F(slot_owner_test, claimer_waits_and_is_quarantined)
{
    write(claim(0, 1, other));
    advance(seconds{100});
    read();
    const auto seen = now;
    advance(claim_wait - milliseconds{1});
    read();
    EXPECT_THAT(poll().appends,
                Contains(testing::Field(&append_action::text, testing::HasSubstr("\"slot\":1,"))));
    EXPECT_EQ(log.size(), 1U) << "slot 0 is not claimed yet";
    now = seen + claim_wait;
    poll();
    EXPECT_EQ(log.size(), 1U) << "the last read began too early";
    read();
    poll();
    ASSERT_EQ(log.size(), 2U);
    read();
    const auto claimed = now;
    EXPECT_EQ(verdict(), slot_verdict::quarantined);
    for (int i = 0; i < 20; ++i) {
        advance(seconds{15});
        poll();
        read();
    }
    EXPECT_EQ(now, claimed + seconds{300});
    EXPECT_EQ(verdict(), slot_verdict::proved);
}

// Guards against a seat that claims within its promise, or promises while its own claim is open.
TEST_F(slot_owner_test, promise_excludes_a_claim)
{
    const promise_request request{other, {{0, 1}}, now};
    advance(seconds{9});
    EXPECT_EQ(core.on_promise_request(request, now).slots, request.slots);
    advance(seconds{10});
    read();
    poll();
    EXPECT_THAT(log, IsEmpty());
    advance(milliseconds{100});
    read();
    poll();
    ASSERT_EQ(log.size(), 1U);
    EXPECT_THAT(core.on_promise_request(request, now).slots, IsEmpty()) << "claim open";
    read();
    EXPECT_THAT(core.on_promise_request(request, now).slots, IsEmpty()) << "owner";
    write(claim(1, 1, other));
    read();
    EXPECT_THAT(core.on_promise_request({third, {{1, 1}}, now}, now).slots, IsEmpty())
        << "the requester was superseded";
}

// Guards against starts on promises that are not from all seats, lapsed, or began after the lease.
TEST_F(slot_owner_test, promises_carry_the_owner_without_a_gap)
{
    own_first();
    const auto lease_start = now;
    advance(seconds{20});
    const auto ask = poll().ask;
    ASSERT_TRUE(ask);
    EXPECT_FALSE(poll().ask) << "asks every 3 s";
    promise_from("e2", *ask);
    EXPECT_EQ(core.proved_until(0), lease_start + seconds{45});
    while (now < lease_start + seconds{60}) {
        advance(seconds{3});
        const auto next = poll().ask;
        ASSERT_TRUE(next);
        promise_from("e2", *next);
        promise_from("e3", *next);
    }
    const auto until = now + seconds{10};
    EXPECT_EQ(core.proved_until(0), until);
    now = until;
    EXPECT_EQ(verdict(), slot_verdict::unproved);
    EXPECT_FALSE(poll().ask);
    promise_from("e2", {own, {{0, 1}}, now});
    promise_from("e3", {own, {{0, 1}}, now});
    EXPECT_EQ(verdict(), slot_verdict::unproved) << "another seat may have claimed in the gap";
}

// Guards against an owner that outlives the wait of a newly configured seat.
TEST_F(slot_owner_test, promises_end_75_minutes_after_the_last_read)
{
    own_first();
    const auto last_read = now;
    core.set_configured_hosts({}, start);
    poll();
    EXPECT_EQ(core.proved_until(0), last_read + std::chrono::minutes{75});
}

// Guards against a new seat whose promise the owners do not ask for yet.
TEST_F(slot_owner_test, new_seat_waits)
{
    core.set_configured_hosts({"e2"}, start + std::chrono::minutes{90});
    advance(std::chrono::minutes{90} - seconds{1});
    read();
    EXPECT_FALSE(claims());
    advance(seconds{1});
    EXPECT_TRUE(claims());
}

// Guards against an owner that missed a claim because the log dropped it.
TEST_F(slot_owner_test, lost_records_end_the_ownership)
{
    own_first();
    log.resize(10, "removed");
    EXPECT_THAT(read(10).lost, testing::ElementsAre(0));
    EXPECT_EQ(verdict(), slot_verdict::not_owner);
}

// Guards against a successor without the records, and against a quarantine lost on the way.
TEST_F(slot_owner_test, handover_needs_the_records)
{
    for (const bool received : {true, false}) {
        write(claim(0, core.log().slot(0).epoch + 1, other));
        read();
        const slot_epoch at{0, core.log().slot(0).epoch};
        if (received)
            core.on_handover_records(at, seconds{7}, now);
        write({"h", handover_record{{at}, other, own}});
        read();
        EXPECT_EQ(verdict(), slot_verdict::unproved) << "no lease yet";
        poll();
        read();
        EXPECT_EQ(verdict(), slot_verdict::quarantined);
        EXPECT_EQ(core.quarantine_left(0, now), received ? seconds{7} : seconds{300});
    }
}

// Guards against a start between the export of the records and the reading of the handover.
TEST_F(slot_owner_test, handover_ends_the_starts_at_once)
{
    own_first();
    ASSERT_TRUE(core.hand_over({0}, third));
    EXPECT_EQ(verdict(), slot_verdict::unproved);
    EXPECT_EQ(core.proved_until(0), time_point::min());
    advance(seconds{15});
    EXPECT_THAT(core.poll(now).appends, IsEmpty()) << "no renewal either";
    log.push_back(core.hand_over({0}, third)->text);
    EXPECT_THAT(read().lost, testing::ElementsAre(0));
}

// Guards against a renewal that is given up when its append fails.
TEST_F(slot_owner_test, failed_renewal_is_sent_again)
{
    own_first();
    advance(seconds{15});
    const auto renewal = core.poll(now).appends.front();
    core.on_append(renewal.record_id, append_outcome::not_written, now);
    advance(seconds{3});
    EXPECT_THAT(core.poll(now).appends.front().text, testing::HasSubstr("renew"));
}

// Guards against all hosts of a domain claiming the same slot at the same moment.
TEST_F(slot_owner_test, hosts_claim_in_the_order_of_preference)
{
    std::vector<std::string> ahead;
    for (int i = 0; ahead.size() < 2; ++i) {
        const auto host = "h" + std::to_string(i);
        if (stable_hash(host, 0) > stable_hash(own.host, 0))
            ahead.push_back(host);
    }
    core.set_live_hosts(ahead);
    advance(milliseconds{10'100} + seconds{4} - milliseconds{1});
    read();
    poll();
    EXPECT_THAT(log, IsEmpty());
    advance(milliseconds{1});
    read();
    poll();
    EXPECT_EQ(log.size(), 1U);
}

} // namespace
} // namespace chivewharf::ownership
