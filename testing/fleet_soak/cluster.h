#pragma once

#include "store.h"
#include "workers.h"

#include <optional>
#include <string>
#include <testing/support/process_group.h>
#include <testing/support/relay.h>
#include <vector>

namespace chivewharf::fleet_soak {

inline constexpr int host_count = 7;
inline constexpr int workers_per_domain = 4;
inline constexpr const char* domain_names[] = {"north", "east", "west"};
inline constexpr int domain_of_host[host_count] = {0, 0, 0, 1, 1, 2, 2};

/// The parts of a configuration that planned work changes.
struct caller_config {
    std::optional<duration> idle_timeout; ///< of callers' connections; the default if empty
    duration route_timeout = seconds{2};
    unsigned extra_routes = 0; ///< queues of each host beside the one that is always there
};

/// The cluster under test. The entry hosts are processes; the store, the workers and the relay
/// between them run in this process.
class cluster {
public:
    cluster(const std::string& bin, const std::string& folder, evidence& run_evidence,
            std::uint64_t seed);
    ~cluster();
    cluster(const cluster&) = delete;
    cluster& operator=(const cluster&) = delete;

    void start_hosts();
    /// Publishes the next version of the configuration.
    void publish(const caller_config& callers = {});
    std::uint64_t version() const noexcept { return version_; }

    /// Path of the queue that every host serves.
    static constexpr const char* queue_path = "/checks/";
    static constexpr unsigned max_extra_routes = 3;
    /// Path of a queue that only some configurations have.
    static std::string extra_queue_path(unsigned number);
    /// `IP:PORT` at which a host accepts callers' requests.
    std::string caller_address(int host) const;
    std::string caller_url(int host) const;
    std::string readiness_url(int host) const;
    std::string metrics_url(int host) const;

    std::vector<testing_support::child>& hosts() { return hosts_; }
    testing_support::process_group& processes() { return processes_; }
    testing_support::relay& network() { return relay_; }
    standin_store& store() { return store_; }
    standin_workers& workers() { return workers_; }

private:
    std::string endpoint(int machine, int port) const;
    std::string render(const std::string& value, int host) const;
    void add_host(int host, const std::string& bin, const std::string& folder);

    std::string network_prefix_;
    testing_support::relay relay_;
    standin_store store_;
    standin_workers workers_;
    std::vector<testing_support::child> hosts_;
    testing_support::process_group processes_;
    std::uint64_t version_ = 0;
};

} // namespace chivewharf::fleet_soak
