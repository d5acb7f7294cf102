#pragma once

#include <base/result.h>
#include <base/time.h>
#include <optional>
#include <settings/cluster_settings.h>
#include <settings/document.h>
#include <settings/endpoint.h>
#include <string>

namespace chivewharf::settings {

/// Settings of one process, read from its local file. They are never published.
struct host_settings {
    std::string site;
    std::string name;
    std::string domain;
    endpoint caller_address; ///< address on which callers connect; port 0 lets the kernel choose
    endpoint peer_address;   ///< address on which peers connect; port 0 lets the kernel choose
    std::string peer_key;    ///< secret shared by all entry hosts; 16 to 256 bytes
    std::string log_directory = "/tmp";
    std::string tls_certificate; ///< PEM file; empty for plain HTTP
    std::string tls_key;         ///< PEM file; required with the certificate
    duration drain_notice{2'000'000'000};
    std::optional<endpoint> platform_address; ///< overrides the published address

    bool operator==(const host_settings&) const = default;
};

/// Parses the local file, which has the top-level keys `site`, `host`, `callers` (TLS files) and
/// `platform` (address). Reports all errors in one pass. Errors never show the value of the peer
/// key.
result<host_settings, settings_errors> parse_host(const document& local);

/// Checks that the site, the host and its domain match the cluster settings.
/// \param file name of the local file to show in errors
/// \return the mismatches; empty if there are none
settings_errors check_host(const host_settings& host, const cluster_settings& cluster,
                           const std::string& file);

} // namespace chivewharf::settings
