#pragma once

#include "cluster.h"

#include <base/rng.h>
#include <runtime/http_client.h>

namespace chivewharf::fleet_soak {

/// The callers: they submit jobs at a steady rate, come again after a lost answer, and keep using
/// a host until its process is gone. Some leave early.
class callers {
public:
    callers(cluster& all, evidence& seen, std::uint64_t seed);

    void start();
    /// Submits nothing new; attempts under way go on.
    void stop() { next_.cancel(); }

private:
    void submit();
    void attempt(const std::string& id);
    void ended(const std::string& id, const runtime::call_result& result);
    int choose_host();

    cluster& all_;
    evidence& seen_;
    rng random_;
    runtime::http_client http_;
    runtime::timer next_;
};

} // namespace chivewharf::fleet_soak
