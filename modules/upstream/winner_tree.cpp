#include <upstream/winner_tree.h>

#include <algorithm>
#include <bit>

namespace chivewharf::upstream {

void winner_tree::set(std::uint32_t entry, std::uint64_t rank)
{
    if (entry >= leaves_) {
        if (rank == absent)
            return;
        grow(entry + 1);
    }
    std::size_t at = leaves_ + entry;
    if (nodes_[at].rank == rank)
        return;
    nodes_[at] = {rank, entry};
    while (at > 1) {
        at /= 2;
        const auto& left = nodes_[2 * at];
        const auto& right = nodes_[2 * at + 1];
        nodes_[at] = right.rank < left.rank ? right : left;
    }
}

void winner_tree::grow(std::uint32_t entries)
{
    const auto leaves = std::max(16U, std::bit_ceil(entries));
    std::vector<node> nodes(2 * std::size_t{leaves});
    std::copy_n(nodes_.begin() + leaves_, leaves_, nodes.begin() + leaves);
    for (std::size_t at = leaves - 1; at > 0; --at) {
        const auto& left = nodes[2 * at];
        const auto& right = nodes[2 * at + 1];
        nodes[at] = right.rank < left.rank ? right : left;
    }
    nodes_ = std::move(nodes);
    leaves_ = leaves;
}

std::uint64_t winner_tree::best_rank() const noexcept
{
    return leaves_ == 0 ? absent : nodes_[1].rank;
}

std::optional<std::uint32_t> winner_tree::best() const noexcept
{
    if (best_rank() == absent)
        return std::nullopt;
    return nodes_[1].entry;
}

} // namespace chivewharf::upstream
