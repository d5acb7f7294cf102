#pragma once

#include "store.h"
#include "workers.h"

#include <string>
#include <testing/support/process_group.h>

namespace chivewharf::request_limits {

/// Memory of the host, as its settings give it. The process must stay within it.
inline constexpr std::size_t host_memory_mb = 64;

/// One entry host as a process. Its store and its worker run in this process.
class entry {
public:
    entry(const std::string& bin, const std::string& folder, fleet_soak::evidence& run_evidence,
          std::uint64_t seed);
    ~entry();
    entry(const entry&) = delete;
    entry& operator=(const entry&) = delete;

    std::string address() const;
    std::string queue_url() const { return "http://" + address() + "/checks/"; }
    bool running() const { return process_.running; }
    const std::vector<std::string>& unexpected_exits() const
    {
        return processes_.unexpected_exits();
    }

    /// Highest resident memory of the process so far, in KiB; 0 if it has ended.
    std::size_t peak_resident_kib() const;
    /// Number of descriptors that the process has open; 0 if it has ended.
    std::size_t open_descriptors() const;

private:
    std::string endpoint(int machine, int port) const;
    void publish();

    std::string network_prefix_;
    fleet_soak::standin_store store_;
    fleet_soak::standin_workers workers_;
    testing_support::child process_;
    testing_support::process_group processes_;
};

} // namespace chivewharf::request_limits
