#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <submission/submission_table.h>
#include <vector>

namespace chivewharf::dispatch {

/// Encoded part of the records of a slot, small enough for one frame.
struct record_part {
    std::string text;
    bool last = false;
};

/// Encodes records in parts of at most 10,000 records each. Returns at least one part, so that an
/// empty slot is handed over too. Each part begins with its number, so that the receiver detects a
/// lost part. Records have a fixed size; numbers are little-endian.
std::vector<record_part> encode_records(const std::vector<submission::tombstone>& records);

/// Decoded part of the records of a slot.
struct received_part {
    std::uint64_t number = 0; ///< counted from 0
    std::vector<submission::tombstone> records;
};

/// Decodes a part. \return none if a record is truncated or holds an invalid value
std::optional<received_part> decode_records(std::string_view text);

} // namespace chivewharf::dispatch
