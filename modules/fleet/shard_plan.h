#pragma once

#include <cstdint>
#include <fleet/types.h>
#include <map>
#include <string>
#include <vector>
#include <wire/messages.h>

namespace chivewharf::fleet {

/// `DOMAIN`, or `DOMAIN#INDEX/COUNT` if the domain has several shards.
std::string to_text(const wire::shard& shard);

/// True if the worker belongs to the shard.
bool contains(const wire::shard& shard, const worker_entry& worker);

/// How many shards each failure domain is divided into. The number never falls while any host
/// lives, and hosts take the greatest that they hear of, so that they come to agree on it.
class shard_plan {
public:
    /// Workers for which one owner is planned. More would need more processor time than a small
    /// host has; fewer would leave room unused between the shards.
    static constexpr std::size_t workers_per_shard = 20;

    /// Divides domains that have grown. A domain is divided again only when it needs half as many
    /// shards more, because that interrupts its jobs.
    void observe(const std::vector<worker_entry>& workers);

    /// Another host knows this number of shards.
    void heard(const wire::domain_shards& domain);

    std::uint32_t count(const std::string& domain) const;

    std::vector<wire::shard> shards_of(const std::string& domain) const;

    std::vector<wire::domain_shards> all() const;

private:
    std::map<std::string, std::uint32_t> counts_;
};

} // namespace chivewharf::fleet
