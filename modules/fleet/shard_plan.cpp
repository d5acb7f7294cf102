#include <fleet/shard_plan.h>

#include <algorithm>
#include <base/digest.h>

namespace chivewharf::fleet {

std::string to_text(const wire::shard& shard)
{
    if (shard.count == 1)
        return shard.domain;
    return shard.domain + '#' + std::to_string(shard.index) + '/' + std::to_string(shard.count);
}

bool contains(const wire::shard& shard, const worker_entry& worker)
{
    return worker.domain == shard.domain &&
           (shard.count == 1 || stable_hash(worker.id) % shard.count == shard.index);
}

void shard_plan::observe(const std::vector<worker_entry>& workers)
{
    std::map<std::string, std::size_t> listed;
    for (const auto& worker : workers)
        ++listed[worker.domain];
    for (const auto& [domain, number] : listed) {
        const auto needed =
            static_cast<std::uint32_t>(std::max<std::size_t>(number / workers_per_shard, 1));
        auto& count = counts_.try_emplace(domain, 1).first->second;
        if (2 * needed >= 3 * count)
            count = needed;
    }
}

void shard_plan::merge(const wire::domain_shards& domain)
{
    auto& count = counts_.try_emplace(domain.domain, 1).first->second;
    count = std::max(count, domain.count);
}

std::uint32_t shard_plan::count(const std::string& domain) const
{
    const auto found = counts_.find(domain);
    return found == counts_.end() ? 1 : found->second;
}

std::vector<wire::shard> shard_plan::shards_of(const std::string& domain) const
{
    std::vector<wire::shard> shards;
    const auto number = count(domain);
    for (std::uint32_t index = 0; index < number; ++index)
        shards.push_back({domain, index, number});
    return shards;
}

std::vector<wire::domain_shards> shard_plan::all() const
{
    std::vector<wire::domain_shards> shards;
    for (const auto& [domain, number] : counts_)
        shards.push_back({domain, number});
    return shards;
}

} // namespace chivewharf::fleet
