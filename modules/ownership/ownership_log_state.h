#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <ownership/ownership_options.h>
#include <ownership/ownership_record.h>
#include <string_view>
#include <vector>

namespace chivewharf::ownership {

/// Ownership of one slot according to the log.
struct slot_state {
    std::uint64_t epoch = 0; ///< 0: no record seen
    incarnation_id owner;
    /// False if records were missed: another record with the same epoch may then correct the owner.
    bool certain = true;

    bool operator==(const slot_state&) const = default;
};

/// What one record did.
struct applied_record {
    std::optional<ownership_record> record; ///< none if malformed
    std::vector<unsigned> slots;            ///< slots on which it took effect
    std::vector<unsigned> first_owned;      ///< of these, slots that never had an owner before
};

/// The fold of the records of a domain in log order. It uses neither time nor the identity of the
/// reader, so all readers of the whole log agree.
class ownership_log_state {
public:
    /// Applies the record at `offset`. A record that was applied before has no effect.
    applied_record apply(std::uint64_t offset, std::string_view data);

    /// Notes that the records before `first` are gone from the log.
    /// \return true if records were missed that had not been read
    bool note_first(std::uint64_t first);

    const slot_state& slot(unsigned number) const { return slots_.at(number); }

    /// True if every record from offset 0 on was read.
    bool complete() const noexcept { return complete_; }

    /// Offset from which to read on.
    std::uint64_t next_offset() const noexcept { return next_; }

    /// Epoch for a claim of the slot: one more than the current one. If the slot is uncertain, the
    /// next offset plus 1, which exceeds every epoch, since each epoch took at least one record.
    /// Readers therefore accept any claim whose epoch is greater than the current one.
    std::uint64_t claim_epoch(unsigned number) const;

    bool operator==(const ownership_log_state&) const = default;

private:
    void apply(const claim_record& claim, applied_record& out);
    void apply(const renew_record& renew, applied_record& out);
    void apply(const handover_record& handover, applied_record& out);

    std::array<slot_state, slot_count> slots_{};
    std::uint64_t next_ = 0;
    bool complete_ = true;
};

} // namespace chivewharf::ownership
