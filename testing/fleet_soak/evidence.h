#pragma once

#include <base/time.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chivewharf::fleet_soak {

/// A job as its caller sees it.
struct caller_job {
    std::string payload;
    time_point submitted{};
    bool completed = false;
    unsigned attempts = 0;
    unsigned refusals = 0;
    bool started = false;              ///< a task was started on a worker
    std::optional<time_point> refused; ///< every attempt was refused as not run
    std::optional<time_point> left;    ///< the caller has left, and comes no more
};

/// Everything that the run has seen, and what must never happen.
struct evidence {
    std::map<std::string, caller_job> jobs;
    std::map<std::string, std::uint64_t> outcomes; ///< of attempts
    std::map<std::string, std::uint64_t> faults;
    std::vector<std::string> violations;
    std::uint64_t starts = 0;
    time_point began = boot_clock::now();

    void violation(const std::string& text)
    {
        violations.push_back(std::to_string(to_ms(boot_clock::now() - began)) + " ms: " + text);
    }
};

} // namespace chivewharf::fleet_soak
