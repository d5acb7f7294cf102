#include <fleet/cancelled_jobs.h>

namespace chivewharf::fleet {

bool cancelled_jobs::add(const std::string& job, bool passed_on, time_point now)
{
    if (jobs_.add(job, cancellation{passed_on}, now))
        return true;
    if (auto* known = jobs_.find(job, now))
        known->passed_on = known->passed_on || passed_on;
    return false;
}

bool cancelled_jobs::contains(const std::string& job, time_point now) const
{
    return jobs_.find(job, now) != nullptr;
}

std::vector<std::string> cancelled_jobs::passed_on(time_point now) const
{
    std::vector<std::string> all;
    jobs_.for_each(now, [&all](const std::string& job, const cancellation& one) {
        if (one.passed_on)
            all.push_back(job);
    });
    return all;
}

} // namespace chivewharf::fleet
