#include <fleet/outstanding_runs.h>

#include <algorithm>

namespace chivewharf::fleet {

void outstanding_runs::add(const std::string& task, const std::string& worker, std::uint32_t run)
{
    runs_[task].push_back({worker, run});
}

void outstanding_runs::remove(const std::string& task, const std::string& worker, std::uint32_t run)
{
    const auto found = runs_.find(task);
    if (found == runs_.end())
        return;
    std::erase(found->second, placed_run{worker, run});
    if (found->second.empty())
        runs_.erase(found);
}

bool outstanding_runs::contains_job(const std::string& job) const
{
    const auto prefix = job_run::task_prefix(job);
    const auto first = runs_.lower_bound(prefix);
    return first != runs_.end() && first->first.starts_with(prefix);
}

std::size_t outstanding_runs::count(const std::string& job, std::size_t step,
                                    const std::string& worker) const
{
    const auto prefix = job_run::task_prefix(job, step);
    std::size_t found = 0;
    for (auto task = runs_.lower_bound(prefix);
         task != runs_.end() && task->first.starts_with(prefix); ++task) {
        const auto& runs = task->second;
        if (std::any_of(runs.begin(), runs.end(),
                        [&](const placed_run& one) { return one.worker == worker; }))
            ++found;
    }
    return found;
}

} // namespace chivewharf::fleet
