#include <fleet/usable_capacity.h>

#include <algorithm>
#include <limits>

namespace chivewharf::fleet {

namespace {

std::uint64_t not_negative(std::int64_t amount)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(amount, 0));
}

/// Number of tasks with the demand that fit into the free resources.
std::uint64_t fitting_tasks(const resources& free, const resources& demand)
{
    auto tasks = std::numeric_limits<std::int64_t>::max();
    if (demand.cpu_milli > 0)
        tasks = std::min(tasks, free.cpu_milli / demand.cpu_milli);
    if (demand.memory_mb > 0)
        tasks = std::min(tasks, free.memory_mb / demand.memory_mb);
    if (demand.accelerators > 0)
        tasks = std::min(tasks, free.accelerators / demand.accelerators);
    return tasks == std::numeric_limits<std::int64_t>::max() ? 0 : not_negative(tasks);
}

} // namespace

void usable_capacity::add(const resources& capacity, const resources& free)
{
    workers_.push_back({capacity, free});
    capacity_milli_ += not_negative(capacity.cpu_milli);
    free_milli_ += not_negative(free.cpu_milli);
    used_milli_ += not_negative(capacity.cpu_milli - free.cpu_milli);
}

void usable_capacity::limit(double share)
{
    if (share >= 1)
        return;
    limited_ = true;
    capacity_milli_ =
        static_cast<std::uint64_t>(static_cast<double>(capacity_milli_) * std::max(share, 0.0));
    free_milli_ = std::min(free_milli_, capacity_milli_ - std::min(capacity_milli_, used_milli_));
}

std::uint64_t usable_capacity::startable_tasks(const resources& demand) const
{
    std::uint64_t tasks = 0;
    for (const auto& worker : workers_)
        tasks += fitting_tasks(worker.free, demand);
    if (limited_ && demand.cpu_milli > 0)
        return std::min(tasks, free_milli_ / static_cast<std::uint64_t>(demand.cpu_milli));
    return tasks;
}

std::uint64_t usable_capacity::tasks_if_idle(const resources& demand) const
{
    std::uint64_t tasks = 0;
    for (const auto& worker : workers_)
        tasks += fitting_tasks(worker.capacity, demand);
    return tasks;
}

} // namespace chivewharf::fleet
