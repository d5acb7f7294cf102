#pragma once

#include "cluster.h"

#include <array>
#include <base/rng.h>
#include <runtime/http_client.h>

namespace chivewharf::fleet_soak {

/// The platform's choice of a host for a new connection. It asks each host once a second whether it
/// is ready, and leaves a host out after two misses; if fewer than half are left, it uses all.
class load_balancer {
public:
    load_balancer(cluster& target_cluster, std::uint64_t seed);

    void start();
    int choose_host();
    /// True if the host's last response said that it is ready.
    bool ready(int host) const { return misses_[static_cast<std::size_t>(host)] == 0; }

private:
    void probe(int host);

    static constexpr unsigned max_misses = 2;

    cluster& cluster_;
    rng random_;
    runtime::http_client http_;
    std::array<unsigned, host_count> misses_;
    runtime::timer probe_timer_;
};

} // namespace chivewharf::fleet_soak
