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
    std::uint64_t epoch = 0; ///< 0 if no record of the slot was read
    incarnation_id owner;
    /// False if records were missed. Another record with the same epoch may then replace the owner.
    bool certain = true;

    bool operator==(const slot_state&) const = default;
};

/// Effect of one record.
struct applied_record {
    std::optional<ownership_record> record; ///< empty if malformed
    std::vector<unsigned> slots;            ///< slots that the record changed or renewed
    std::vector<unsigned> first_owned;      ///< those of `slots` that never had an owner before
};

/// State that results from applying the records of a domain in log order. It depends neither on the
/// time nor on the identity of the reader, so all readers of the whole log get the same state.
class ownership_log_state {
public:
    /// Applies the record at `offset`. Offsets that were already applied are ignored.
    applied_record apply(std::uint64_t offset, std::string_view data);

    /// Reports that the log no longer holds the records before offset `first`.
    /// \return true if some of them had not been read
    bool note_first_offset(std::uint64_t first);

    const slot_state& slot(unsigned number) const { return slots_.at(number); }

    /// True if every record since offset 0 was read.
    bool complete() const noexcept { return complete_; }

    /// Offset of the next record to read.
    std::uint64_t next_offset() const noexcept { return next_; }

    /// Epoch for a claim of the slot: the current epoch plus 1. If the state of the slot is not
    /// certain, the next offset plus 1, which exceeds every epoch in the log because each new epoch
    /// needs a record of its own. For this reason readers accept any claim whose epoch is greater
    /// than the current one.
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
