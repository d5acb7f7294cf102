#include <membership/hash_ring.h>

#include <algorithm>
#include <base/digest.h>
#include <tuple>
#include <utility>

namespace chivewharf::membership {

bool hash_ring::point::operator<(const point& other) const
{
    return std::tie(hash, name) < std::tie(other.hash, other.name);
}

void hash_ring::assign(std::vector<std::string> names)
{
    points_.clear();
    points_.reserve(names.size());
    for (auto& name : names) {
        const auto hash = stable_hash(name);
        points_.push_back({hash, std::move(name)});
    }
    std::sort(points_.begin(), points_.end());
}

std::vector<std::string> hash_ring::successors(std::string_view name, std::size_t count) const
{
    std::vector<std::string> found;
    const point start{stable_hash(name), std::string{name}};
    auto it = std::upper_bound(points_.begin(), points_.end(), start);
    for (std::size_t step = 0; step < points_.size() && found.size() < count; ++step, ++it) {
        if (it == points_.end())
            it = points_.begin();
        if (it->name != name)
            found.push_back(it->name);
    }
    return found;
}

bool hash_ring::is_successor(std::string_view candidate, std::string_view name,
                             std::size_t count) const
{
    const auto hosts = successors(name, count);
    return std::find(hosts.begin(), hosts.end(), candidate) != hosts.end();
}

} // namespace chivewharf::membership
