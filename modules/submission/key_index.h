#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <submission/submission_id.h>
#include <vector>

namespace chivewharf::submission {

/// Hash index from submission keys to record numbers, with open addressing and linear probing. A
/// slot takes 8 bytes: the low 32 bits of the key and the record number. The load factor is at most
/// 3/4. Keys are hashes already, so their low bits select the slot directly. The full keys are
/// stored in the records, outside the index.
class key_index {
public:
    /// Returns true if the record has this key.
    using matcher = bool (*)(const void* context, std::uint32_t record, const submission_key& key);

    /// Returns the record number of the key, or none. `context` is passed to `matches`.
    std::optional<std::uint32_t> find(const submission_key& key, matcher matches,
                                      const void* context) const;

    /// Adds a key, which must not be in the index.
    void insert(const submission_key& key, std::uint32_t record);

    /// Removes the entry of this key and record, which must be in the index.
    void erase(const submission_key& key, std::uint32_t record);

    std::size_t size() const noexcept { return size_; }

    /// Allocated memory in bytes.
    std::size_t bytes() const noexcept { return slots_.capacity() * sizeof(slot); }

private:
    struct slot {
        std::uint32_t tag;
        std::uint32_t record_plus_one; ///< 0: the slot is free
    };

    void place(std::uint32_t tag, std::uint32_t record_plus_one);
    void grow();

    std::vector<slot> slots_;
    std::size_t size_ = 0;
};

} // namespace chivewharf::submission
