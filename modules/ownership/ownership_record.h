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

/// A slot and its ownership epoch, which increases with each claim and handover.
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

/// Renews the lease of `owner` on the slots.
struct renew_record {
    incarnation_id owner;
    std::vector<slot_epoch> slots;

    bool operator==(const renew_record&) const = default;
};

/// Transfers slots from their owner `from`, each at its current epoch, to `to`, which owns them at
/// the next epoch. Each slot is accepted or ignored independently of the others.
struct handover_record {
    std::vector<slot_epoch> slots;
    incarnation_id from;
    incarnation_id to;

    bool operator==(const handover_record&) const = default;
};

/// A record of stream `ownership.DOMAIN`. The record id is unique; by it the writer recognises its
/// own record when it reads the log.
struct ownership_record {
    std::string record_id;
    std::variant<claim_record, renew_record, handover_record> body;

    bool operator==(const ownership_record&) const = default;
};

/// Encodes the record as JSON.
std::string encode(const ownership_record& record);

/// Decodes a record. A record with unknown, missing or duplicate keys, wrong types or values out of
/// range is malformed. The check is strict so that all readers skip the same records.
/// \return the record, or `malformed_record`
result<ownership_record, ownership_error> decode(std::string_view text);

} // namespace chivewharf::ownership
