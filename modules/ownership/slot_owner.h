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

/// Ownership of a slot at one point in time. Only `proved` allows admitting an unknown id or
/// starting a task.
enum class slot_verdict : std::uint8_t {
    proved,
    quarantined, ///< owned, but the tasks that the previous owner started are unknown
    unproved,    ///< owned, but the lease expired or the epoch changed
    not_owner,
};

/// Reason for refusing an unknown id if the verdict is not `proved`. Such a refusal always reports
/// that the work may have run, because another incarnation may have started it.
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
    time_point requested_at; ///< boot clock before the request was sent
    std::uint64_t first = 0; ///< oldest offset that the log still holds
    std::vector<std::pair<std::uint64_t, std::string>> records; ///< offset and text
    bool reached_end = false;
};

/// A record to append. Report the outcome to `on_append`; the record itself is read back through
/// `on_log`.
struct append_action {
    std::string record_id;
    std::string text;
};

/// Asks the other configured hosts of the domain to promise not to claim the slots.
struct promise_request {
    incarnation_id owner;
    std::vector<slot_epoch> slots;
    time_point requested_at; ///< clock of the owner, returned unchanged in the promise
};

/// Answer to a promise request: the slots for which the promise is given.
struct promise {
    std::string host; ///< the host that gives the promise
    std::vector<slot_epoch> slots;
    time_point requested_at;
};

/// Actions that the caller must carry out now.
struct ownership_actions {
    std::vector<append_action> appends;
    std::optional<promise_request> promise_request_to_send; ///< for the other configured hosts
};

/// Slots that this incarnation gained or lost by a log read.
struct ownership_changes {
    std::vector<unsigned> gained;
    std::vector<unsigned> lost; ///< fail the queued submissions of these slots
};

/// Decisions of one incarnation about the slots of its domain.
///
/// A claim or renewal takes effect only when it has been read back from the log. Its lease starts
/// at the clock reading before the append was sent. After the lease, ownership stays proved only
/// while every other configured host has promised, without a gap, not to claim the slot, and the
/// log was read to its end within the last `max_log_silence`.
class slot_owner {
public:
    /// \param started boot clock at process start
    slot_owner(incarnation_id self, time_point started, ownership_options options = {});

    /// Sets durations and limits, which must be the same on all hosts of the domain. Call only
    /// before the first claim.
    void set_options(const ownership_options& options) { options_ = options; }

    /// Sets the other configured hosts of the domain, from the configuration in force.
    /// \param may_claim_from earliest time of a claim: `new_host_wait` after the record that added
    ///     this host, or any past time if the first configuration already has this host
    void set_configured_hosts(std::vector<std::string> others, time_point may_claim_from);

    /// Sets the other live hosts of the domain. They only affect which host claims a slot first.
    void set_live_hosts(std::vector<std::string> others);

    /// Processes the result of a log read.
    ownership_changes on_log(const log_read& read, time_point now);

    /// Processes the outcome of an append.
    void on_append(const std::string& record_id, append_outcome outcome, time_point now);

    /// Returns the claims, renewals and promise requests that are due. Call after each event and at
    /// least once per second.
    ownership_actions poll(time_point now);

    /// Answers the request of another owner. The returned promise binds this incarnation at once.
    promise on_promise_request(const promise_request& request, time_point now);

    /// Processes a promise of another host.
    void on_promise(const promise& given, time_point now);

    /// Verdict on admitting an id that is not in the submission table. Ids in the table are
    /// answered regardless of it.
    slot_verdict may_admit(unsigned slot, time_point now) const;

    /// Verdict on starting a task. Read the clock immediately before the call.
    /// \param epoch value of `own_epoch` when the submission was admitted
    slot_verdict may_start(unsigned slot, std::uint64_t epoch, time_point now) const;

    /// Time until which tasks of the slot may start, for `Chivewharf-Start-By`.
    time_point proved_until(unsigned slot) const;

    /// Epoch at which this incarnation owns the slot; 0 if it does not.
    std::uint64_t own_epoch(unsigned slot) const;

    /// Remaining quarantine of the slot. A handover sends it along with the records of the slot.
    duration quarantine_left(unsigned slot, time_point now) const;

    /// Slots that this incarnation owns.
    std::vector<slot_epoch> own_slots() const;

    /// Stops further claims. Call at the start of a planned shutdown.
    void stop_claiming() noexcept { claims_enabled_ = false; }

    /// Gives up the slots and returns the record that hands them over to the successor `to`. From
    /// this call on no task of the slots may start here. After the call, export the records of the
    /// slots and send them to the successor, then append the returned record. If the append was not
    /// written, append the same record again.
    /// \return empty if none of the slots is owned
    std::optional<append_action> hand_over(const std::vector<unsigned>& slots,
                                           const incarnation_id& to);

    /// Reports that the records of the slot arrived from its owner at epoch `at.epoch`. If the
    /// handover is then read from the log, only the owner's remaining quarantine applies; without
    /// the records, the quarantine lasts a full id lifetime.
    /// \param quarantine remaining quarantine at the owner
    void on_handover_records(const slot_epoch& at, duration quarantine, time_point now);

    const ownership_log_state& log() const noexcept { return log_; }

private:
    /// State of one slot at this incarnation.
    struct slot_info {
        std::uint64_t epoch = 0; ///< own epoch, 0 if not owned
        bool handed_over = false;
        time_point proof_until = time_point::min();
        time_point lease_start = time_point::min();
        time_point quarantine_until = time_point::min();
        /// Time at which the last valid record of the slot was read.
        time_point last_record_read = time_point::min();
        time_point promised_until = time_point::min(); ///< end of this host's promise not to claim
        slot_epoch received{}; ///< slot records that arrived for a handover; epoch 0 if none
        time_point received_quarantine = time_point::min();
    };

    /// An append of this incarnation that was not yet read back from the log.
    struct pending_append {
        time_point sent;
        std::optional<unsigned> claim; ///< slot, if the record is a claim
    };

    duration with_drift(duration d) const;
    std::string next_record_id();
    append_action make_append(ownership_record record, std::optional<unsigned> claim,
                              time_point now);
    void begin_ownership(unsigned slot, std::uint64_t epoch, time_point quarantine_until);
    void end_ownership(unsigned slot, ownership_changes& changes);
    void apply_record(const applied_record& applied, time_point now, ownership_changes& changes);
    void apply_claim(const claim_record& claim, const applied_record& applied, time_point now,
                     ownership_changes& changes);
    void apply_handover(const slot_epoch& at, const incarnation_id& to, time_point now,
                        ownership_changes& changes);
    void extend_lease(unsigned slot, time_point sent);
    void drop_settled_appends();
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
    std::vector<std::string> configured_hosts_;
    bool configured_hosts_known_ = false;
    time_point may_claim_from_ = time_point::max();
    std::vector<std::string> live_hosts_;
    std::map<std::string, std::array<time_point, slot_count>> promises_;
    /// Start of the last read that reached the end of the log.
    time_point last_read_to_end_ = time_point::min();
    time_point next_renewal_ = time_point::min();
    time_point next_promise_request_ = time_point::min();
    std::uint64_t record_count_ = 0;
    bool claims_enabled_ = true;
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
