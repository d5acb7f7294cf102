#include <fleet/job_queue.h>

#include <utility>

namespace chivewharf::fleet {

void job_queue::put(queued_job job)
{
    erase(job.job);
    auto id = job.job;
    const auto priority = job.priority;
    auto& its_class = classes_[priority];
    its_class.demand_milli += job.demand_milli;
    const auto place = its_class.jobs.insert(std::move(job)).first;
    places_.emplace(std::move(id), std::pair{priority, place});
}

void job_queue::erase(const std::string& job)
{
    const auto found = places_.find(job);
    if (found == places_.end())
        return;
    const auto [priority, place] = found->second;
    places_.erase(found);
    auto& its_class = classes_.at(priority);
    its_class.demand_milli -= place->demand_milli;
    its_class.jobs.erase(place);
}

std::vector<std::uint32_t> job_queue::priorities() const
{
    std::vector<std::uint32_t> all;
    for (const auto& [priority, one] : classes_) {
        if (!one.jobs.empty())
            all.push_back(priority);
    }
    return all;
}

const job_queue::job_set& job_queue::jobs(std::uint32_t priority) const
{
    static const job_set none;
    const auto found = classes_.find(priority);
    return found == classes_.end() ? none : found->second.jobs;
}

std::int64_t job_queue::demand_milli(std::uint32_t priority) const
{
    std::int64_t demand = 0;
    for (const auto& [key, one] : classes_) {
        if (key <= priority)
            demand += one.demand_milli;
    }
    return demand;
}

void job_queue::work_started(std::uint32_t priority, double work, time_point now)
{
    started_.try_emplace(priority, share_window).first->second.add(work, now);
}

bool job_queue::below_reserved_share(std::uint32_t priority, time_point now) const
{
    double total = 0;
    double theirs = 0;
    for (const auto& [key, work] : started_) {
        total += work.value(now);
        if (key >= priority)
            theirs += work.value(now);
    }
    return theirs < reserved_share * total;
}

} // namespace chivewharf::fleet
