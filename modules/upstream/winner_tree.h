#pragma once

#include <cstdint>
#include <optional>
#include <vector>

namespace chivewharf::upstream {

/// Winner tree (tournament tree) over entries numbered from 0. Reads the entry with the smallest
/// rank in constant time and changes a rank in logarithmic time, without allocation unless the tree
/// grows.
class winner_tree {
public:
    /// Rank of an entry that does not take part.
    static constexpr std::uint64_t absent = UINT64_MAX;

    /// Sets the rank of an entry; `absent` removes it. Grows the tree if needed.
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
