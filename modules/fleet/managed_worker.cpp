#include <fleet/managed_worker.h>

#include <algorithm>

namespace chivewharf::fleet {

bool managed_worker::has_label(const std::string& label) const
{
    const auto& labels = session->entry().labels;
    return std::find(labels.begin(), labels.end(), label) != labels.end();
}

bool managed_worker::suits(const wire::job_order& order, const wire::job_step& step) const
{
    return session->entry().service == order.service &&
           (step.required_label.empty() || has_label(step.required_label));
}

} // namespace chivewharf::fleet
