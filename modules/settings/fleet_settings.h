#pragma once

#include <base/result.h>
#include <cstdint>
#include <settings/document.h>
#include <settings/endpoint.h>
#include <string>
#include <vector>

namespace chivewharf::settings {

/// Settings of a host that runs on the users' platform. The platform renders them from
/// `deploy/host.json.in` at each start and whenever they change.
struct fleet_settings {
    std::string host;
    std::string domain;
    std::vector<std::string> domains; ///< all failure domains, including that of this host
    endpoint callers;                 ///< address on which it accepts requests of callers
    endpoint readiness;  ///< address on which it answers readiness checks of the load balancer
    endpoint peers;      ///< address on which it accepts connections of other hosts
    endpoint advertised; ///< address to which other hosts connect; empty if the same as `peers`
    endpoint store;      ///< address of the platform's store
    std::vector<std::string> seeds; ///< peer addresses of some hosts; may be empty or outdated
    double core_share = 1;          ///< fraction of each core that this host may use
    double cores = 1;
    std::int64_t memory_mb = 0;    ///< memory of the process; 0 if it is not known
    std::int64_t metrics_port = 0; ///< 0 disables the metrics server
    std::int64_t drain_ms = 5600;  ///< maximum time to complete open requests at a planned stop

    bool operator==(const fleet_settings&) const = default;
};

/// Parses the document. Reports all errors in one pass.
result<fleet_settings, settings_errors> parse_fleet(const document& local);

} // namespace chivewharf::settings
