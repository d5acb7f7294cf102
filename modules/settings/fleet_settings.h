#pragma once

#include <base/result.h>
#include <cstdint>
#include <settings/document.h>
#include <settings/endpoint.h>
#include <string>
#include <vector>

namespace chivewharf::settings {

/// Settings of a host on the users' platform. The platform renders them from
/// `deploy/host.json.in` at every start and whenever they change.
struct fleet_settings {
    std::string host;
    std::string domain;
    std::vector<std::string> domains; ///< all failure domains, this host's among them
    endpoint callers;                 ///< where callers' requests arrive
    endpoint readiness;               ///< where the balancer asks
    endpoint peers;                   ///< where this host listens for other hosts
    endpoint advertised;              ///< where they reach it; empty if that is `peers`
    endpoint store;                   ///< of the platform
    std::vector<std::string> seeds;   ///< peer addresses of some hosts; may be empty or stale
    double core_share = 1;            ///< part of each core that this host may use
    double cores = 1;
    std::int64_t metrics_port = 0; ///< 0 serves no metrics
    std::int64_t drain_ms = 5600;  ///< longest time for open requests at a planned stop

    bool operator==(const fleet_settings&) const = default;
};

/// Parses the document. Reports all faults at once.
result<fleet_settings, settings_errors> parse_fleet(const document& local);

} // namespace chivewharf::settings
