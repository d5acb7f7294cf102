#pragma once

#include "persistent_callers.h"
#include "planned_work.h"
#include "version_watch.h"

#include <runtime/main_loop.h>

namespace chivewharf::fleet_soak {

/// Soak with planned work only and no failures. Every request whose last byte a host could read
/// must get a response, and every planned stop must end in time.
class planned_soak {
public:
    planned_soak(cluster& target_cluster, evidence& run_evidence, std::uint64_t seed,
                 duration length, runtime::main_loop& loop);

    void start();

private:
    void next_work(time_point end);
    void wait_for_work_to_end();
    void finish();

    cluster& cluster_;
    evidence& evidence_;
    rng random_;
    duration length_;
    runtime::main_loop& loop_;
    load_balancer balancer_;
    planned_work work_;
    persistent_callers callers_;
    version_watch versions_;
};

} // namespace chivewharf::fleet_soak
