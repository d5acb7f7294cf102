#pragma once

#include <base/time.h>
#include <cstddef>
#include <fleet/recent_jobs.h>
#include <optional>
#include <string>
#include <wire/messages.h>

namespace chivewharf::fleet {

/// How the jobs of this host's shards have ended lately. A result is lost if its link ends before
/// the receiver has read it. The receiver then sends the job again, and is told the result instead
/// of running the job a second time.
class finished_jobs {
public:
    /// A result is forgotten after this time. A host that has lost the link to an owner sends its
    /// jobs elsewhere sooner.
    static constexpr duration retention = seconds{5};
    /// Beyond this number, the oldest ones are forgotten earlier.
    static constexpr std::size_t max_jobs = 5000;

    /// Records the end of a job, unless it is one after which the job runs again.
    void add(const std::string& job, wire::job_end end, time_point now);

    /// How the job has ended; none if that is not known.
    std::optional<wire::job_end> find(const std::string& job, time_point now) const;

    /// Forgets the jobs whose time is over.
    void expire(time_point now) { jobs_.expire(now); }

    std::size_t size() const noexcept { return jobs_.size(); }

private:
    recent_jobs<wire::job_end> jobs_{retention, max_jobs};
};

} // namespace chivewharf::fleet
