#include <fleet/sent_tasks.h>

#include <algorithm>

namespace chivewharf::fleet {

bool sent_tasks::is_current(const record& one, const owner_view& owner)
{
    return one.host == owner.host && one.reported == owner.reported;
}

void sent_tasks::drop_oldest()
{
    const auto oldest =
        std::min_element(records_.begin(), records_.end(), [](const auto& a, const auto& b) {
            return a.second.reported < b.second.reported;
        });
    records_.erase(oldest);
}

void sent_tasks::add(const owner_view& owner, std::uint64_t tasks)
{
    if (!records_.contains(owner.shard) && records_.size() >= max_shards)
        drop_oldest();
    auto& one = records_[owner.shard];
    if (!is_current(one, owner))
        one = {owner.host, owner.reported, 0};
    one.tasks += tasks;
}

std::uint64_t sent_tasks::since_report(const owner_view& owner) const
{
    const auto found = records_.find(owner.shard);
    if (found == records_.end() || !is_current(found->second, owner))
        return 0;
    return found->second.tasks;
}

} // namespace chivewharf::fleet
