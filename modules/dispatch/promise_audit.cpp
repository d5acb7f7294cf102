#include <dispatch/promise_audit.h>

#include <string>

namespace chivewharf::dispatch {

promise_audit::promise_audit(metrics::registry& metrics)
{
    for (std::size_t i = 0; i < counters_.size(); ++i)
        counters_[i] = &metrics.counter("chivewharf_promise_violations_total",
                                        "promise=\"P" + std::to_string(i + 1) + '"');
}

void promise_audit::task_resent(bool allowed)
{
    if (allowed)
        return;
    count_violation(promise::starts_once);
    count_violation(promise::at_most_once);
}

void promise_audit::submission_settled(const submission::answer& reply, std::size_t tasks,
                                       std::size_t sends)
{
    const bool complete = reply.result == submission::outcome::complete;
    if (complete ? reply.payloads.size() != tasks : !reply.payloads.empty())
        count_violation(promise::complete_or_failed);
    if (reply.work == work_state::not_run && sends > 0)
        count_violation(promise::accurate_not_run);
}

void promise_audit::task_started(upstream::worker_state state)
{
    using upstream::worker_state;
    if (state == worker_state::leaving || state == worker_state::drained ||
        state == worker_state::gone)
        count_violation(promise::no_work_when_leaving);
}

} // namespace chivewharf::dispatch
