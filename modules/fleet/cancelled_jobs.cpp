#include <fleet/cancelled_jobs.h>

namespace chivewharf::fleet {

bool cancelled_jobs::add(const std::string& job, bool passed_on, time_point now)
{
    expire(now);
    const auto [place, added] = jobs_.try_emplace(job, entry{now, passed_on});
    if (!added) {
        place->second.passed_on = place->second.passed_on || passed_on;
        return false;
    }
    by_age_.push_back(job);
    if (by_age_.size() > max_jobs)
        forget_oldest();
    return true;
}

bool cancelled_jobs::contains(const std::string& job, time_point now) const
{
    const auto found = jobs_.find(job);
    return found != jobs_.end() && now - found->second.cancelled_at <= retention;
}

std::vector<std::string> cancelled_jobs::passed_on(time_point now) const
{
    std::vector<std::string> all;
    for (const auto& [job, one] : jobs_) {
        if (one.passed_on && now - one.cancelled_at <= retention)
            all.push_back(job);
    }
    return all;
}

void cancelled_jobs::expire(time_point now)
{
    while (!by_age_.empty() && now - jobs_.at(by_age_.front()).cancelled_at > retention)
        forget_oldest();
}

void cancelled_jobs::forget_oldest()
{
    jobs_.erase(by_age_.front());
    by_age_.pop_front();
}

} // namespace chivewharf::fleet
