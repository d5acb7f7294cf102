#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <submission/submission_table.h>
#include <vector>

namespace chivewharf::dispatch {

/// One part of the records of a slot, small enough for a frame.
struct record_part {
    std::string text;
    bool last = false;
};

/// Encodes records in parts of at most 10,000; at least one part, so that an empty slot is handed
/// over too. Each part begins with its number, so that a lost part is noticed. The layout is
/// fixed-size and little-endian.
std::vector<record_part> encode_records(const std::vector<submission::tombstone>& records);

/// A part of the records of a slot as it arrived.
struct received_part {
    std::uint64_t number = 0; ///< from 0 on
    std::vector<submission::tombstone> records;
};

/// Decodes a part. \return none if a record is incomplete or out of range
std::optional<received_part> decode_records(std::string_view text);

} // namespace chivewharf::dispatch
