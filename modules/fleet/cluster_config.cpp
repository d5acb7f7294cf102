#include <fleet/cluster_config.h>

#include <algorithm>

namespace chivewharf::fleet {

queue_index::queue_index(const std::vector<queue_config>& queues)
{
    for (const auto& queue : queues)
        by_host_[queue.host].push_back(queue);
    for (auto& [host, list] : by_host_) {
        std::stable_sort(list.begin(), list.end(), [](const auto& a, const auto& b) {
            return a.prefix.size() > b.prefix.size();
        });
    }
}

const queue_config* queue_index::find(std::string_view host, std::string_view path) const
{
    const auto list = by_host_.find(host);
    if (list == by_host_.end())
        return nullptr;
    const auto found =
        std::find_if(list->second.begin(), list->second.end(),
                     [&](const queue_config& queue) { return path.starts_with(queue.prefix); });
    return found == list->second.end() ? nullptr : &*found;
}

} // namespace chivewharf::fleet
