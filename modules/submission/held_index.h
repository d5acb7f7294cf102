#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <submission/submission_id.h>
#include <vector>

namespace chivewharf::submission {

/// Open-addressing hash index from submission keys to record numbers. A slot holds the low 32 bits
/// of the key and the record number, 8 bytes, and at most 3/4 of the slots are used. Keys are
/// hashes already, so their bits choose the slot. The records hold the whole keys.
class held_index {
public:
    /// Tells whether the record has the key that is looked for.
    using matcher = bool (*)(const void* context, std::uint32_t record, const submission_key& key);

    /// Record number of the key, or none. `context` is passed on to `matches`.
    std::optional<std::uint32_t> find(const submission_key& key, matcher matches,
                                      const void* context) const;

    /// Adds a key that is not in the index.
    void insert(const submission_key& key, std::uint32_t record);

    /// Removes the entry of the key that points to the record.
    void erase(const submission_key& key, std::uint32_t record);

    std::size_t size() const noexcept { return size_; }

    /// Bytes allocated.
    std::size_t bytes() const noexcept { return slots_.capacity() * sizeof(slot); }

private:
    struct slot {
        std::uint32_t tag;
        std::uint32_t record_plus_one; ///< 0 marks a free slot
    };

    void place(std::uint32_t tag, std::uint32_t record_plus_one);
    void grow();

    std::vector<slot> slots_;
    std::size_t size_ = 0;
};

} // namespace chivewharf::submission
