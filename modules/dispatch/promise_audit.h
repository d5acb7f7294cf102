#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <metrics/registry.h>
#include <submission/answer.h>
#include <upstream/worker.h>

namespace chivewharf::dispatch {

/// Promises to callers and operators (design page, section 1.1), numbered P1 to P8 in this order.
enum class promise : std::uint8_t {
    starts_once,
    complete_or_failed,
    own_answer,
    accurate_not_run,
    at_most_once,
    no_work_when_leaving,
    graceful_stop,
    version_monotonic
};

/// Detects violations of the promises that a single process can observe and counts them in
/// `chivewharf_promise_violations_total{promise="P1"}` to P8. The promises are enforced elsewhere;
/// a count above 0 means that the enforcement is faulty.
class promise_audit {
public:
    /// Creates all counters, so that they are exported as 0 from the start.
    explicit promise_audit(metrics::registry& metrics);

    void count_violation(promise which) { ++*counters_[static_cast<std::size_t>(which)]; }

    /// A task that may have run is sent again.
    /// \param allowed true if the service is idempotent and the submission has one task
    void task_resent(bool allowed);

    /// A submission got its final answer.
    /// \param tasks number of tasks of the submission
    /// \param sends number of sends of its tasks that are still in flight
    void submission_settled(const submission::answer& reply, std::size_t tasks, std::size_t sends);

    /// A task starts on a worker.
    void task_started(upstream::worker_state state);

private:
    std::array<std::uint64_t*, 8> counters_{};
};

} // namespace chivewharf::dispatch
