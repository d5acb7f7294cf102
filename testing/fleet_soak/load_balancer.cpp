#include "load_balancer.h"

namespace chivewharf::fleet_soak {

namespace {

constexpr duration probe_interval = seconds{1};
constexpr duration probe_timeout = milliseconds{900};
constexpr unsigned status_ok = 200;

} // namespace

load_balancer::load_balancer(cluster& target_cluster, std::uint64_t seed)
    : cluster_{target_cluster}, random_{seed}, http_{{64, 16, 60}}
{
    misses_.fill(max_misses);
}

void load_balancer::start()
{
    probe_timer_.every(probe_interval, [this] {
        for (int host = 0; host < host_count; ++host)
            probe(host);
    });
}

void load_balancer::probe(int host)
{
    runtime::http_call call;
    call.method = "GET";
    call.url = cluster_.readiness_url(host);
    call.timeout = probe_timeout;
    http_.send(std::move(call), [this, host](const runtime::call_result& result) {
        const bool is_ready =
            result.outcome == runtime::call_outcome::answered && result.status == status_ok;
        auto& misses = misses_[static_cast<std::size_t>(host)];
        misses = is_ready ? 0 : misses + 1;
    });
}

int load_balancer::choose_host()
{
    std::vector<int> hosts;
    for (int host = 0; host < host_count; ++host) {
        if (misses_[static_cast<std::size_t>(host)] < max_misses)
            hosts.push_back(host);
    }
    if (2 * hosts.size() < host_count)
        return static_cast<int>(random_() % host_count);
    return hosts[random_() % hosts.size()];
}

} // namespace chivewharf::fleet_soak
