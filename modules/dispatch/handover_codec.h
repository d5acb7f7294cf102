#pragma once

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
/// over too. The layout is fixed-size and little-endian.
std::vector<record_part> encode_records(const std::vector<submission::held_record>& records);

/// Decodes a part; stops at the first record that is incomplete or out of range.
std::vector<submission::held_record> decode_records(std::string_view text);

} // namespace chivewharf::dispatch
