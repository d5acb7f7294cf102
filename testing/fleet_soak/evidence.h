#pragma once

#include <base/time.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chivewharf::fleet_soak {

/// A job as its caller observes it.
struct caller_job {
    std::string payload;
    time_point submitted{};
    bool completed = false;
    unsigned attempts = 0;
    unsigned refusals = 0;
    bool started = false; ///< a task was started on a worker
    std::optional<time_point>
        refused; ///< when the last attempt was refused, if all were refused as not run
    std::optional<time_point> left; ///< when the caller cancelled; it does not retry
};

/// What the run has observed, including the violations that make it fail.
struct evidence {
    std::map<std::string, caller_job> jobs;
    std::map<std::string, std::uint64_t> outcomes;   ///< number of attempts by outcome
    std::map<std::string, std::uint64_t> injections; ///< faults and planned work by name
    std::vector<std::string> violations;
    std::uint64_t starts = 0;
    time_point started_at = boot_clock::now();

    /// Records a violation with the time since the start of the run.
    void violation(const std::string& text)
    {
        violations.push_back(std::to_string(to_ms(boot_clock::now() - started_at)) +
                             " ms: " + text);
    }

    /// Records that the last attempt of a job was refused as not run. The job must not have
    /// started, and must not start later.
    void refused_as_not_run(const std::string& id)
    {
        auto& job = jobs.at(id);
        job.refused = boot_clock::now();
        if (job.started)
            violation("job " + id + " was refused as not run and has run");
    }
};

} // namespace chivewharf::fleet_soak
