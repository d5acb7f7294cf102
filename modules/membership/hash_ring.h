#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chivewharf::membership {

/// Hosts ordered by a stable hash of their names. All hosts with the same members build the same
/// ring, and adding or removing a host affects only its neighbours.
class hash_ring {
public:
    /// Replaces the members.
    void assign(std::vector<std::string> names);

    /// Returns the `count` hosts after `name`, or fewer if the ring is smaller, without `name`
    /// itself, which need not be a member.
    std::vector<std::string> successors(std::string_view name, std::size_t count) const;

    /// True if `candidate` is among the `count` hosts after `name`.
    bool is_successor(std::string_view candidate, std::string_view name, std::size_t count) const;

private:
    struct point {
        std::uint64_t hash;
        std::string name;
        bool operator<(const point& other) const;
    };
    std::vector<point> points_;
};

} // namespace chivewharf::membership
