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

std::uint64_t usable_capacity::startable_tasks(const resources& demand) const
{
    std::uint64_t tasks = 0;
    for (const auto& worker : workers_)
        tasks += fitting_tasks(worker.free, demand);
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
