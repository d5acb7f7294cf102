#pragma once

#include "cluster.h"

#include <map>
#include <runtime/http_client.h>

namespace chivewharf::fleet_soak {

/// Reads the version of the configuration that each host has in force. It must not decrease while
/// the process runs.
class version_watch {
public:
    version_watch(cluster& target_cluster, evidence& run_evidence);

    void start();
    /// Checks that every host has the last published version in force.
    void check_last();

private:
    void sample();
    void check_sample(const std::pair<int, int>& incarnation, std::uint64_t known_version,
                      const std::string& metrics);

    cluster& cluster_;
    evidence& evidence_;
    runtime::http_client http_{{4096, 16, 60}};
    /// Highest version that a host has reported, by host number and number of process starts.
    std::map<std::pair<int, int>, std::uint64_t> versions_;
    runtime::timer timer_;
};

} // namespace chivewharf::fleet_soak
