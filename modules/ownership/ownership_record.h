#pragma once

#include <base/result.h>
#include <cstdint>
#include <ownership/ownership_error.h>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace chivewharf::ownership {

/// One incarnation of an entry host.
struct incarnation_id {
    std::string host;
    std::uint64_t incarnation = 0;

    bool operator==(const incarnation_id&) const = default;
};

/// A slot and the epoch of its ownership. The epoch rises with each claim and handover.
struct slot_epoch {
    unsigned slot = 0;
    std::uint64_t epoch = 0;

    bool operator==(const slot_epoch&) const = default;
};

/// Makes `owner` the owner of the slot at a new epoch.
struct claim_record {
    slot_epoch at;
    incarnation_id owner;

    bool operator==(const claim_record&) const = default;
};

/// Renews the lease of the slots of `owner`.
struct renew_record {
    incarnation_id owner;
    std::vector<slot_epoch> slots;

    bool operator==(const renew_record&) const = default;
};

/// Passes slots from their owner, each at its epoch, to `to`, which owns them at the next epoch.
/// The record is judged for each slot on its own.
struct handover_record {
    std::vector<slot_epoch> slots;
    incarnation_id from;
    incarnation_id to;

    bool operator==(const handover_record&) const = default;
};

/// A record of stream `ownership.DOMAIN`. The record id is unique and lets the writer recognise
/// its record when it reads the log.
struct ownership_record {
    std::string record_id;
    std::variant<claim_record, renew_record, handover_record> body;

    bool operator==(const ownership_record&) const = default;
};

/// JSON text of the record.
std::string encode(const ownership_record& record);

/// Decodes a record. Unknown, missing and duplicate keys, wrong types and values out of range make
/// it malformed, so that all readers skip the same records.
/// \return the record, or `malformed_record`
result<ownership_record, ownership_error> decode(std::string_view text);

} // namespace chivewharf::ownership
