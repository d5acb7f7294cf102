#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <metrics/registry.h>
#include <submission/answer.h>
#include <upstream/worker.h>

namespace chivewharf::dispatch {

/// The promises of the design page, section 1.1.
enum class promise : std::uint8_t {
    starts_once,
    whole_or_failed,
    own_answer,
    truthful_not_run,
    at_most_once,
    no_work_when_leaving,
    graceful_stop,
    version_rises
};

/// Checks the promises that one process can see broken and counts violations in
/// `chivewharf_promise_violations_total{promise="P1"}` to P8. The rules that keep the promises are
/// elsewhere; a count above 0 means that one of them has a fault.
class promise_audit {
public:
    /// Makes all counters, so that they read 0 from the start.
    explicit promise_audit(metrics::registry& metrics);

    void violated(promise which) { ++*counters_[static_cast<std::size_t>(which)]; }

    /// A task that may have run goes out again.
    /// \param allowed the service is idempotent and the submission has one task
    void sent_again(bool allowed);

    /// A submission got its final answer.
    /// \param tasks tasks of the submission
    /// \param sends sends of its tasks that have not ended
    void settled(const submission::answer& reply, std::size_t tasks, std::size_t sends);

    /// A task starts on a worker.
    void started_on(upstream::worker_state state);

private:
    std::array<std::uint64_t*, 8> counters_{};
};

} // namespace chivewharf::dispatch
