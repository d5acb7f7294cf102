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

/// The number of shards of each failure domain. It never falls while any host is alive, and each
/// host adopts the maximum that others report, so that all hosts come to agree on it.
class shard_plan {
public:
    /// Planned number of workers per owner. More would need more processor time than a small host
    /// has; fewer would leave resources unused between the shards.
    static constexpr std::size_t workers_per_shard = 20;

    /// Raises the number of shards of domains that have grown. Since that interrupts the jobs of
    /// the domain, it happens only when at least 1.5 times the number of shards is needed.
    void observe(const std::vector<worker_entry>& workers);

    /// Adopts the number of shards that another host has reported, if it is higher.
    void merge(const wire::domain_shards& domain);

    std::uint32_t count(const std::string& domain) const;

    std::vector<wire::shard> shards_of(const std::string& domain) const;

    std::vector<wire::domain_shards> all() const;

private:
    std::map<std::string, std::uint32_t> counts_;
};

} // namespace chivewharf::fleet
