#include <sched/job_order.h>

namespace chivewharf::sched {

double shortest_remaining_work::key(const job_attributes& job) const
{
    return to_seconds(job.remaining) + ageing_ * to_seconds(job.arrived.time_since_epoch());
}

double first_come::key(const job_attributes& job) const
{
    return to_seconds(job.arrived.time_since_epoch());
}

} // namespace chivewharf::sched
