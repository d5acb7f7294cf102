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

/// One slot owner and a log that other hosts also write to.
struct slot_owner_test : testing::Test {
    std::vector<std::string> log;
    slot_owner subject{own, start};
    time_point now = start;

    slot_owner_test() { subject.set_configured_hosts({"e2", "e3"}, start); }

    void write(const ownership_record& record) { log.push_back(encode(record)); }
    ownership_changes read(std::uint64_t first = 0)
    {
        log_read result{now, first, {}, true};
        for (auto i = std::max(first, subject.log().next_offset()); i < log.size(); ++i)
            result.records.emplace_back(i, log[i]);
        return subject.on_log(result, now);
    }
    /// Polls the owner and writes its appends to the log, except claims of slots other than 0.
    ownership_actions poll()
    {
        auto actions = subject.poll(now);
        for (const auto& append : actions.appends) {
            const auto record = decode(append.text).value();
            const auto* claimed = std::get_if<claim_record>(&record.body);
            if (claimed != nullptr && claimed->at.slot != 0)
                subject.on_append(append.record_id, append_outcome::not_written, now);
            else
                log.push_back(append.text);
        }
        return actions;
    }
    bool poll_claims() { return !poll().appends.empty(); }
    void advance(duration d) { now += d; }
    slot_verdict verdict() const { return subject.may_admit(0, now); }
    /// Makes the owner acquire slot 0 at epoch 1 with a lease that starts now.
    void acquire_slot_0()
    {
        advance(seconds{11});
        read();
        poll();
        read();
        ASSERT_EQ(verdict(), slot_verdict::proved);
    }
    void promise_from(const std::string& host, const promise_request& request)
    {
        subject.on_promise({host, request.slots, request.requested_at}, now);
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

// Guards against two owners at one epoch, and against a record of a previous owner that takes
// effect.
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
    EXPECT_THAT(state.apply(0, encode(claim(0, 4, own))).slots, IsEmpty())
        << "offset already applied";
    EXPECT_TRUE(state.complete());
}

// Guards against a reader that missed the start of the log, claims with an epoch that the other
// readers reject, and so is the only one to consider itself the owner.
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
    EXPECT_TRUE(partial.note_first_offset(5));
    EXPECT_EQ(partial.claim_epoch(0), 6U);
    partial.apply(5, log[5]);
    EXPECT_EQ(partial.slot(0), full.slot(0));
    EXPECT_EQ(partial.claim_epoch(1), 7U);
    const auto late = encode(claim(1, partial.claim_epoch(1), own));
    EXPECT_EQ(partial.apply(6, late).slots, full.apply(6, late).slots);
    EXPECT_THAT(partial.apply(7, late).first_owned, IsEmpty());
    EXPECT_FALSE(partial.complete());
}

// Guards against a claim that takes effect before it was read back, and against quarantining a slot
// that never had an owner.
TEST_F(slot_owner_test, claim_counts_only_once_read_back)
{
    advance(seconds{10});
    read();
    EXPECT_FALSE(poll_claims()) << "the previous incarnation may have given a promise";
    advance(milliseconds{100});
    read();
    ASSERT_TRUE(poll_claims());
    EXPECT_EQ(verdict(), slot_verdict::not_owner);
    advance(seconds{3});
    read();
    EXPECT_EQ(verdict(), slot_verdict::proved);
    EXPECT_EQ(subject.proved_until(0), start + milliseconds{10'100} + seconds{45});
    EXPECT_EQ(subject.may_start(0, 1, now), slot_verdict::proved);
    EXPECT_EQ(subject.may_start(0, 2, now), slot_verdict::unproved);
}

// Guards against a start after the lease expired, and against a renewed lease that counts from the
// time the renewal was read instead of the time before its append.
TEST_F(slot_owner_test, lease_runs_from_before_the_append)
{
    acquire_slot_0();
    const auto lease_start = now;
    advance(seconds{15});
    ASSERT_EQ(poll().appends.size(), 1U) << "only the renewal: the last read is too old for claims";
    advance(seconds{29});
    EXPECT_EQ(verdict(), slot_verdict::proved);
    advance(seconds{1});
    EXPECT_EQ(verdict(), slot_verdict::unproved);
    read();
    EXPECT_EQ(subject.proved_until(0), lease_start + seconds{60});
    log.push_back(log.back());
    advance(seconds{20});
    read();
    EXPECT_EQ(verdict(), slot_verdict::unproved) << "a duplicate record does not extend the lease";
}

// Guards against a claim before the owner's lease has expired on the slowest permitted clock, and
// against a claim based on an outdated read of the log.
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
    EXPECT_EQ(log.size(), 1U) << "the last read started too early";
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

// Guards against a host that claims while its promise is binding, or gives a promise while its own
// claim is in flight.
TEST_F(slot_owner_test, promise_excludes_a_claim)
{
    const promise_request request{other, {{0, 1}}, now};
    advance(seconds{9});
    EXPECT_EQ(subject.on_promise_request(request, now).slots, request.slots);
    advance(seconds{10});
    read();
    poll();
    EXPECT_THAT(log, IsEmpty());
    advance(milliseconds{100});
    read();
    poll();
    ASSERT_EQ(log.size(), 1U);
    EXPECT_THAT(subject.on_promise_request(request, now).slots, IsEmpty()) << "claim in flight";
    read();
    EXPECT_THAT(subject.on_promise_request(request, now).slots, IsEmpty())
        << "the host is the owner";
    write(claim(1, 1, other));
    read();
    EXPECT_THAT(subject.on_promise_request({third, {{1, 1}}, now}, now).slots, IsEmpty())
        << "the requester was superseded";
}

// Guards against starts based on promises that do not come from all configured hosts, have expired,
// or began after the lease ended.
TEST_F(slot_owner_test, promises_extend_the_proof_without_a_gap)
{
    acquire_slot_0();
    const auto lease_start = now;
    advance(seconds{20});
    const auto ask = poll().promise_request_to_send;
    ASSERT_TRUE(ask);
    EXPECT_FALSE(poll().promise_request_to_send) << "asks every 3 s";
    promise_from("e2", *ask);
    EXPECT_EQ(subject.proved_until(0), lease_start + seconds{45});
    while (now < lease_start + seconds{60}) {
        advance(seconds{3});
        const auto next = poll().promise_request_to_send;
        ASSERT_TRUE(next);
        promise_from("e2", *next);
        promise_from("e3", *next);
    }
    const auto until = now + seconds{10};
    EXPECT_EQ(subject.proved_until(0), until);
    now = until;
    EXPECT_EQ(verdict(), slot_verdict::unproved);
    EXPECT_FALSE(poll().promise_request_to_send);
    promise_from("e2", {own, {{0, 1}}, now});
    promise_from("e3", {own, {{0, 1}}, now});
    EXPECT_EQ(verdict(), slot_verdict::unproved) << "another host may have claimed in the gap";
}

// Guards against an owner whose ownership stays proved after a newly configured host may claim.
TEST_F(slot_owner_test, promises_end_75_minutes_after_the_last_read)
{
    acquire_slot_0();
    const auto last_read = now;
    subject.set_configured_hosts({}, start);
    poll();
    EXPECT_EQ(subject.proved_until(0), last_read + std::chrono::minutes{75});
}

// Guards against a claim by a newly configured host that the owners do not yet ask for promises.
TEST_F(slot_owner_test, newly_configured_host_waits)
{
    subject.set_configured_hosts({"e2"}, start + std::chrono::minutes{90});
    advance(std::chrono::minutes{90} - seconds{1});
    read();
    EXPECT_FALSE(poll_claims());
    advance(seconds{1});
    EXPECT_TRUE(poll_claims());
}

// Guards against an owner that misses a claim because the log no longer holds it.
TEST_F(slot_owner_test, lost_records_end_the_ownership)
{
    acquire_slot_0();
    log.resize(10, "removed");
    EXPECT_THAT(read(10).lost, testing::ElementsAre(0));
    EXPECT_EQ(verdict(), slot_verdict::not_owner);
}

// Guards against a successor that skips the full quarantine although it did not receive the slot's
// records, or that ignores the remaining quarantine of its predecessor.
TEST_F(slot_owner_test, handover_needs_the_records)
{
    for (const bool received : {true, false}) {
        write(claim(0, subject.log().slot(0).epoch + 1, other));
        read();
        const slot_epoch at{0, subject.log().slot(0).epoch};
        if (received)
            subject.on_handover_records(at, seconds{7}, now);
        write({"h", handover_record{{at}, other, own}});
        read();
        EXPECT_EQ(verdict(), slot_verdict::unproved) << "no lease yet";
        poll();
        read();
        EXPECT_EQ(verdict(), slot_verdict::quarantined);
        EXPECT_EQ(subject.quarantine_left(0, now), received ? seconds{7} : seconds{300});
    }
}

// Guards against a start between the export of the records and reading the handover from the log.
TEST_F(slot_owner_test, handover_ends_the_starts_at_once)
{
    acquire_slot_0();
    ASSERT_TRUE(subject.hand_over({0}, third));
    EXPECT_EQ(verdict(), slot_verdict::unproved);
    EXPECT_EQ(subject.proved_until(0), time_point::min());
    advance(seconds{15});
    EXPECT_THAT(subject.poll(now).appends, IsEmpty()) << "no renewal either";
    log.push_back(subject.hand_over({0}, third)->text);
    EXPECT_THAT(read().lost, testing::ElementsAre(0));
}

// Guards against a renewal that is not retried after its append failed.
TEST_F(slot_owner_test, failed_renewal_is_sent_again)
{
    acquire_slot_0();
    advance(seconds{15});
    const auto renewal = subject.poll(now).appends.front();
    subject.on_append(renewal.record_id, append_outcome::not_written, now);
    advance(seconds{3});
    EXPECT_THAT(subject.poll(now).appends.front().text, testing::HasSubstr("renew"));
}

// Guards against all hosts of a domain claiming the same slot at the same time.
TEST_F(slot_owner_test, hosts_claim_in_the_order_of_preference)
{
    std::vector<std::string> higher_ranked;
    for (int i = 0; higher_ranked.size() < 2; ++i) {
        const auto host = "h" + std::to_string(i);
        if (stable_hash(host, 0) > stable_hash(own.host, 0))
            higher_ranked.push_back(host);
    }
    subject.set_live_hosts(higher_ranked);
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
