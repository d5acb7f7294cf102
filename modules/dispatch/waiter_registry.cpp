#include <dispatch/waiter_registry.h>

namespace chivewharf::dispatch {

void waiter_registry::add(submission::waiter who, waiting_request request)
{
    due_.emplace(request.until, who);
    requests_.emplace(who, std::move(request));
}

std::optional<waiting_request> waiter_registry::remove(submission::waiter who)
{
    const auto found = requests_.find(who);
    if (found == requests_.end())
        return std::nullopt;
    auto request = std::move(found->second);
    requests_.erase(found);
    due_.erase({request.until, who});
    return request;
}

std::vector<std::pair<submission::waiter, waiting_request>>
waiter_registry::remove_due(time_point now)
{
    std::vector<std::pair<submission::waiter, waiting_request>> removed;
    while (!due_.empty() && due_.begin()->first <= now) {
        const auto who = due_.begin()->second;
        removed.emplace_back(who, *remove(who));
    }
    return removed;
}

std::optional<time_point> waiter_registry::next_due() const
{
    if (due_.empty())
        return std::nullopt;
    return due_.begin()->first;
}

} // namespace chivewharf::dispatch
