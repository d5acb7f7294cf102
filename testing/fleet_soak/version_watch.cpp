#include "version_watch.h"

#include <algorithm>

namespace chivewharf::fleet_soak {

namespace {

constexpr duration sample_interval = milliseconds{200};

} // namespace

version_watch::version_watch(cluster& target_cluster, evidence& run_evidence)
    : cluster_{target_cluster}, evidence_{run_evidence}
{
}

void version_watch::start()
{
    timer_.every(sample_interval, [this] { sample(); });
}

void version_watch::sample()
{
    for (int host = 0; host < host_count; ++host) {
        const auto& process = cluster_.hosts()[static_cast<std::size_t>(host)];
        if (!process.running)
            continue;
        runtime::http_call call;
        call.method = "GET";
        call.url = cluster_.metrics_url(host);
        call.timeout = seconds{10};
        const std::pair incarnation{host, process.starts};
        http_.send(std::move(call), [this, incarnation, known_version = versions_[incarnation]](
                                        const runtime::call_result& result) {
            if (result.outcome == runtime::call_outcome::answered)
                check_sample(incarnation, known_version, result.body);
        });
    }
}

/// Compares a sample with the version that was known when the request was sent, because a host that
/// was paused may answer the pending requests in any order.
void version_watch::check_sample(const std::pair<int, int>& incarnation,
                                 std::uint64_t known_version, const std::string& metrics)
{
    const std::string metric = "\nchivewharf_config_version ";
    const auto found = metrics.find(metric);
    if (found == std::string::npos)
        return;
    const auto version = std::stoull(metrics.substr(found + metric.size()));
    if (version < known_version)
        evidence_.violation("host " + std::to_string(incarnation.first) +
                            " went back from configuration " + std::to_string(known_version) +
                            " to " + std::to_string(version));
    auto& max_version = versions_[incarnation];
    max_version = std::max<std::uint64_t>(max_version, version);
}

void version_watch::check_last()
{
    for (int host = 0; host < host_count; ++host) {
        const auto& process = cluster_.hosts()[static_cast<std::size_t>(host)];
        const auto version = versions_[{host, process.starts}];
        if (version != cluster_.version())
            evidence_.violation("host " + std::to_string(host) + " has configuration " +
                                std::to_string(version) + " instead of " +
                                std::to_string(cluster_.version()));
    }
}

} // namespace chivewharf::fleet_soak
