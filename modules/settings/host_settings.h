#pragma once

#include <base/result.h>
#include <base/time.h>
#include <optional>
#include <settings/cluster_settings.h>
#include <settings/document.h>
#include <settings/endpoint.h>
#include <string>

namespace chivewharf::settings {

/// Settings of one process, from its local file. They are never published.
struct host_settings {
    std::string site;
    std::string name;
    std::string domain;
    endpoint caller_address; ///< where callers connect; port 0 lets the kernel choose
    endpoint peer_address;   ///< where peers connect; port 0 lets the kernel choose
    std::string peer_key;    ///< shared by all entry hosts; 16 to 256 bytes
    std::string log_directory = "/tmp";
    std::string tls_certificate; ///< PEM file; empty for plain HTTP
    std::string tls_key;         ///< PEM file; given together with the certificate
    duration drain_notice{2'000'000'000};
    std::optional<endpoint> platform_address; ///< replaces the published address

    bool operator==(const host_settings&) const = default;
};

/// Parses the local file: top-level keys `site`, `host`, `callers` (TLS files) and `platform`
/// (address). Reports all faults at once; the value of the peer key is never shown.
result<host_settings, settings_errors> parse_host(const document& local);

/// Names in the local settings that the cluster settings do not know. Empty if both fit.
/// \param file name of the local file, for the errors
settings_errors check_host(const host_settings& host, const cluster_settings& cluster,
                           const std::string& file);

} // namespace chivewharf::settings
