#pragma once

#include <base/time.h>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace chivewharf::fleet {

/// A queue of jobs, selected by the host name and path of a request.
struct queue_config {
    std::string name;
    std::string host;   ///< host name that callers address
    std::string prefix; ///< path before the job's id
    std::string service;
    duration timeout = seconds{30};
    std::uint32_t priority = 0; ///< 0 is the highest
    std::uint32_t max_attempts = 1;
    float stretch = 1;
    duration target{};
    bool needs_advice = false; ///< only an external service knows which workers may run its steps
};

/// Limits on callers' requests.
struct caller_limits {
    std::size_t max_body_bytes = std::size_t{256} * 1024;
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    duration request_timeout = seconds{3}; ///< from a request's first byte to its last
    duration idle_timeout = seconds{15};   ///< between two requests of a connection
};

/// One version of the operators' configuration.
struct cluster_config {
    std::uint64_t version = 0;
    std::vector<queue_config> queues;
    caller_limits limits;
    std::string record; ///< as published, to be passed on to other hosts
};

/// Finds the queue of a request.
class queue_index {
public:
    queue_index() = default;
    explicit queue_index(const std::vector<queue_config>& queues);

    /// Queue of the host with the longest prefix that the path begins with; null if there is none.
    const queue_config* find(std::string_view host, std::string_view path) const;

private:
    /// Queues by host, those with longer prefixes first.
    std::map<std::string, std::vector<queue_config>, std::less<>> by_host_;
};

} // namespace chivewharf::fleet
