#pragma once

#include "cluster.h"

#include <base/rng.h>
#include <runtime/http_client.h>

namespace chivewharf::fleet_soak {

/// Simulated callers. They submit jobs at a steady rate to random hosts whose process is running,
/// also paused ones, and retry after a lost answer. Some cancel their request early.
class callers {
public:
    callers(cluster& target_cluster, evidence& run_evidence, std::uint64_t seed);

    void start();
    /// Stops submitting new jobs; jobs in flight are completed and retried.
    void stop() { submit_timer_.cancel(); }

private:
    void submit();
    void attempt(const std::string& id);
    void on_response(const std::string& id, const runtime::call_result& result);
    int choose_host();

    cluster& cluster_;
    evidence& evidence_;
    rng random_;
    runtime::http_client http_;
    runtime::timer submit_timer_;
};

} // namespace chivewharf::fleet_soak
