#pragma once

#include <cstdint>
#include <optional>
#include <vector>

namespace chivewharf::upstream {

/// Tournament tree over entries numbered from 0: the entry with the smallest rank is read in
/// constant time and a rank is changed in time logarithmic in the number of entries, without
/// allocation.
class winner_tree {
public:
    static constexpr std::uint64_t absent = UINT64_MAX;

    /// Sets the rank of an entry; `absent` takes it out. Grows the tree where needed.
    void set(std::uint32_t entry, std::uint64_t rank);

    /// Entry with the smallest rank; none if all are absent.
    std::optional<std::uint32_t> best() const noexcept;

    /// Rank of the best entry, or `absent`.
    std::uint64_t best_rank() const noexcept;

private:
    struct node {
        std::uint64_t rank = absent;
        std::uint32_t entry = 0;
    };

    void grow(std::uint32_t entries);

    std::uint32_t leaves_ = 0;
    std::vector<node> nodes_; // the root is node 1
};

} // namespace chivewharf::upstream
