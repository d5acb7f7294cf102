#include <fleet/finished_jobs.h>

namespace chivewharf::fleet {

void finished_jobs::add(const std::string& job, wire::job_end end, time_point now)
{
    if (end != wire::job_end::completed && end != wire::job_end::failed)
        return;
    expire(now);
    if (!jobs_.try_emplace(job, entry{now, end}).second)
        return;
    by_age_.push_back(job);
    if (by_age_.size() > max_jobs)
        forget_oldest();
}

std::optional<wire::job_end> finished_jobs::find(const std::string& job, time_point now) const
{
    const auto found = jobs_.find(job);
    if (found == jobs_.end() || now - found->second.finished_at > retention)
        return std::nullopt;
    return found->second.end;
}

void finished_jobs::expire(time_point now)
{
    while (!by_age_.empty() && now - jobs_.at(by_age_.front()).finished_at > retention)
        forget_oldest();
}

void finished_jobs::forget_oldest()
{
    jobs_.erase(by_age_.front());
    by_age_.pop_front();
}

} // namespace chivewharf::fleet
