#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chivewharf::membership {

/// Hosts in the order of a stable hash of their names. Every host with the same members sees the
/// same ring, and one change moves only the neighbours.
class hash_ring {
public:
    /// Replaces the members.
    void assign(std::vector<std::string> names);

    /// The `count` hosts after `name`, fewer if the ring is smaller; `name` itself is left out. The
    /// name need not be a member.
    std::vector<std::string> next(std::string_view name, std::size_t count) const;

    /// True if `watcher` is among the `count` hosts after `name`.
    bool follows(std::string_view watcher, std::string_view name, std::size_t count) const;

private:
    struct point {
        std::uint64_t hash;
        std::string name;
        bool operator<(const point& other) const;
    };
    std::vector<point> points_;
};

} // namespace chivewharf::membership
