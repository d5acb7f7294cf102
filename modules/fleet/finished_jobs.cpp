#include <fleet/finished_jobs.h>

namespace chivewharf::fleet {

void finished_jobs::add(const std::string& job, wire::job_end end, time_point now)
{
    if (end == wire::job_end::completed || end == wire::job_end::failed)
        jobs_.add(job, end, now);
}

std::optional<wire::job_end> finished_jobs::find(const std::string& job, time_point now) const
{
    const auto* end = jobs_.find(job, now);
    return end == nullptr ? std::nullopt : std::optional{*end};
}

} // namespace chivewharf::fleet
