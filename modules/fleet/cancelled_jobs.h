#pragma once

#include <base/time.h>
#include <cstddef>
#include <fleet/recent_jobs.h>
#include <string>
#include <vector>

namespace chivewharf::fleet {

/// The jobs that callers have cancelled lately. A job may reach a host after its cancellation: from
/// a host that has not heard of it, or because its caller sends it once more.
class cancelled_jobs {
public:
    /// A job is forgotten after this time. Callers send a job again, and links that were cut open
    /// again, within seconds.
    static constexpr duration retention = seconds{15};
    /// Beyond this number, the oldest ones are forgotten earlier.
    static constexpr std::size_t max_jobs = 20000;

    /// \param passed_on true if this host has told the others of the cancellation
    /// \return false if the job was known to be cancelled
    bool add(const std::string& job, bool passed_on, time_point now);

    bool contains(const std::string& job, time_point now) const;

    /// The jobs of whose cancellation this host has told the others.
    std::vector<std::string> passed_on(time_point now) const;

    /// Forgets the jobs whose time is over.
    void expire(time_point now) { jobs_.expire(now); }

    std::size_t size() const noexcept { return jobs_.size(); }

private:
    struct cancellation {
        bool passed_on = false;
    };

    recent_jobs<cancellation> jobs_{retention, max_jobs};
};

} // namespace chivewharf::fleet
