#pragma once

#include <cstddef>
#include <cstdint>
#include <fleet/job_run.h>
#include <map>
#include <string>
#include <vector>

namespace chivewharf::fleet {

/// The runs of tasks that may be on the workers of a shard: from the order that starts a run, or
/// from the reply that lists it, until its end is known. The jobs of some have ended already, and
/// their tasks are being stopped.
///
/// It is the one place that knows whether a task may be started. The sessions of the workers keep
/// it, each for its own worker.
class outstanding_runs {
public:
    void add(const std::string& task, const std::string& worker, std::uint32_t run);

    /// Does nothing for a run that is not known.
    void remove(const std::string& task, const std::string& worker, std::uint32_t run);

    /// True if a run of the task may be on a worker: no other one may be started.
    bool contains(const std::string& task) const { return runs_.contains(task); }

    /// True if a run of one of the job's tasks may be on a worker.
    bool contains_job(const std::string& job) const;

    /// Number of tasks of the job's step that may have a run on the worker.
    std::size_t count(const std::string& job, std::size_t step, const std::string& worker) const;

    /// Number of tasks that may have a run on a worker.
    std::size_t tasks() const noexcept { return runs_.size(); }

private:
    struct placed_run {
        std::string worker;
        std::uint32_t run = 0;
        bool operator==(const placed_run&) const = default;
    };

    std::map<std::string, std::vector<placed_run>> runs_; ///< by task; no entry is empty
};

} // namespace chivewharf::fleet
