#pragma once

#include <array>
#include <base/base.h>
#include <cstdint>
#include <map>
#include <optional>
#include <ownership/ownership_log_state.h>
#include <ownership/ownership_options.h>
#include <ownership/ownership_record.h>
#include <string>
#include <utility>
#include <vector>

namespace chivewharf::ownership {

/// Outcome of an append to the log.
enum class append_outcome : std::uint8_t { written, not_written, may_have_been_written };

/// Verdict on a slot at one moment. Only `proved` lets an unknown id be admitted or a task start.
enum class slot_verdict : std::uint8_t {
    proved,
    quarantined, ///< owned, but the starts of the previous owner are unknown
    unproved,    ///< owned, but the lease lapsed or the epoch changed
    not_owner,
};

/// Reason with which an unknown id is refused on a verdict other than `proved`. Such a refusal
/// always reports that the work may have run, because another incarnation may have started it.
constexpr reason refusal_reason(slot_verdict verdict) noexcept
{
    switch (verdict) {
    case slot_verdict::proved:
        return reason::none;
    case slot_verdict::quarantined:
        return reason::ownership_quarantine;
    case slot_verdict::unproved:
        return reason::ownership_unproved;
    case slot_verdict::not_owner:
        break;
    }
    return reason::owner_unreachable;
}

/// Result of one read of the log.
struct log_read {
    time_point asked_at;     ///< boot clock before the request was sent
    std::uint64_t first = 0; ///< first offset that the log still holds
    std::vector<std::pair<std::uint64_t, std::string>> records; ///< offset and text
    bool reached_end = false;
};

/// A record to append. Its outcome comes back through `on_append`, the record through `on_log`.
struct append_action {
    std::string record_id;
    std::string text;
};

/// Request to every other seat of the domain to promise not to claim the slots.
struct promise_request {
    incarnation_id owner;
    std::vector<slot_epoch> slots;
    time_point asked_at; ///< clock of the owner, returned unchanged in the promise
};

/// Answer to a promise request: the slots for which the promise is given.
struct promise {
    std::string seat;
    std::vector<slot_epoch> slots;
    time_point asked_at;
};

/// What the shell must do now.
struct ownership_actions {
    std::vector<append_action> appends;
    std::optional<promise_request> ask; ///< to be sent to each of the other seats
};

/// What a log read changed for this incarnation.
struct ownership_changes {
    std::vector<unsigned> gained;
    std::vector<unsigned> lost; ///< queued submissions of these slots must be failed
};

/// Decisions of one incarnation about the slots of its domain.
///
/// A claim or renewal is in effect only once it was read back from the log, and its lease runs
/// from the clock reading before its append was sent. Past the lease, the owner goes on only while
/// every other seat has promised, without a gap, not to claim.
class slot_owner {
public:
    /// \param started boot clock at process start
    slot_owner(incarnation_id self, time_point started, ownership_options options = {});

    /// Sets times and bounds, which must be the same on all hosts of the domain. Call it only
    /// before the first claim.
    void set_options(const ownership_options& options) { options_ = options; }

    /// Sets the other seats of the domain, from the configuration in force.
    /// \param may_claim_from `new_seat_wait` after the record that added this seat, or any past
    /// time
    ///        for a seat that the first configuration has
    void set_configured_hosts(std::vector<std::string> others, time_point may_claim_from);

    /// Sets the other live hosts of the domain, which only influences who claims first.
    void set_live_hosts(std::vector<std::string> others);

    /// Takes the result of a log read.
    ownership_changes on_log(const log_read& read, time_point now);

    /// Takes the outcome of an append.
    void on_append(const std::string& record_id, append_outcome outcome, time_point now);

    /// Decides on claims, renewals and promise requests. Call it after each event and at least
    /// every second.
    ownership_actions poll(time_point now);

    /// Decides on another owner's request. The promise binds this incarnation at once.
    promise on_promise_request(const promise_request& request, time_point now);

    /// Takes a promise of another seat.
    void on_promise(const promise& given, time_point now);

    /// Verdict for an id that is not in the table. Ids in the table are answered in any case.
    slot_verdict may_admit(unsigned slot, time_point now) const;

    /// Verdict for a start. Read the clock immediately before.
    /// \param epoch `own_epoch` at the time the submission was admitted
    slot_verdict may_start(unsigned slot, std::uint64_t epoch, time_point now) const;

    /// Time until which starts in the slot are proved, for `Chivewharf-Start-By`.
    time_point proved_until(unsigned slot) const;

    /// Epoch at which this incarnation owns the slot; 0 if it does not.
    std::uint64_t own_epoch(unsigned slot) const;

    /// Remaining quarantine of the slot, to be sent along with the records of a handover.
    duration quarantine_left(unsigned slot, time_point now) const;

    /// Slots of this incarnation.
    std::vector<slot_epoch> own_slots() const;

    /// Stops claims, at the begin of a planned stop.
    void stop_claiming() noexcept { claiming_ = false; }

    /// Gives up slots and makes the record that hands them over. No start is proved from here on.
    /// Export the records of the slots after the call and send them to the successor before the
    /// append. If the append was not written, append the same record again.
    /// \return none if no slot is owned
    std::optional<append_action> hand_over(const std::vector<unsigned>& slots,
                                           const incarnation_id& to);

    /// Notes that the records of the slot arrived from its owner at `at.epoch`. A handover that is
    /// read later then needs only the quarantine that the owner had left.
    void on_handover_records(const slot_epoch& at, duration quarantine, time_point now);

    const ownership_log_state& log() const noexcept { return log_; }

private:
    /// What this incarnation knows of one slot.
    struct slot_info {
        std::uint64_t epoch = 0; ///< own epoch, 0 if not owned
        bool handed_over = false;
        time_point proof_until = time_point::min();
        time_point lease_start = time_point::min();
        time_point quarantine_until = time_point::min();
        time_point last_seen = time_point::min();      ///< last valid record of the owner was read
        time_point promised_until = time_point::min(); ///< own promise not to claim
        slot_epoch received{}; ///< records held for a handover; epoch 0 if none
        time_point received_quarantine = time_point::min();
    };

    /// An append of this incarnation that was not read back yet.
    struct pending_append {
        time_point sent;
        std::optional<unsigned> claim; ///< slot of a claim
    };

    duration with_drift(duration d) const;
    std::string next_record_id();
    append_action make_append(ownership_record record, std::optional<unsigned> claim,
                              time_point now);
    void own(unsigned slot, std::uint64_t epoch, time_point quarantine_until);
    void disown(unsigned slot, ownership_changes& changes);
    void take(const applied_record& applied, time_point now, ownership_changes& changes);
    void take_claim(const claim_record& claim, const applied_record& applied, time_point now,
                    ownership_changes& changes);
    void take_handover(const slot_epoch& at, const incarnation_id& to, time_point now,
                       ownership_changes& changes);
    void extend_lease(unsigned slot, time_point sent);
    void forget_settled();
    void extend_by_promises(time_point now);
    bool claim_pending(unsigned slot) const;
    bool claimable(unsigned slot, time_point now) const;
    std::size_t claim_rank(unsigned slot) const;
    void poll_claims(time_point now, ownership_actions& out);
    void poll_renewal(time_point now, ownership_actions& out);
    void poll_promises(time_point now, ownership_actions& out);

    incarnation_id self_;
    time_point started_;
    ownership_options options_;
    ownership_log_state log_;
    std::array<slot_info, slot_count> slots_{};
    std::map<std::string, pending_append> pending_;
    std::vector<std::string> seats_;
    bool seats_known_ = false;
    time_point may_claim_from_ = time_point::max();
    std::vector<std::string> live_;
    std::map<std::string, std::array<time_point, slot_count>> promises_;
    time_point last_end_read_ = time_point::min(); ///< start of the last read to the end
    time_point next_renewal_ = time_point::min();
    time_point next_ask_ = time_point::min();
    std::uint64_t record_count_ = 0;
    bool claiming_ = true;
};

} // namespace chivewharf::ownership

template <>
struct chivewharf::enum_names<chivewharf::ownership::append_outcome> {
    static constexpr std::array<std::string_view, 3> names{"written", "not_written",
                                                           "may_have_been_written"};
};

template <>
struct chivewharf::enum_names<chivewharf::ownership::slot_verdict> {
    static constexpr std::array<std::string_view, 4> names{"proved", "quarantined", "unproved",
                                                           "not_owner"};
};
