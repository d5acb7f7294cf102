#pragma once

#include <base/time.h>
#include <cstdint>
#include <fleet/worker_session.h>
#include <map>
#include <memory>
#include <string>
#include <wire/messages.h>

namespace chivewharf::fleet {

/// A worker at its shard owner, with its hand-over state and its record of failures.
struct managed_worker {
    std::shared_ptr<worker_session> session;
    std::uint64_t added_in = 0; ///< revision of the list with which it was added
    bool listed = true;         ///< false: it is kept only until its tasks have ended
    bool held_by_predecessor = false;
    bool released = false;
    std::uint32_t consecutive_failures = 0;
    time_point avoid_until{};
    duration last_avoidance{};

    /// True if tasks may be started on it.
    bool accepts_tasks() const { return listed && session->usable(); }

    /// True if the job may start on it: the job's requester must know all workers that may run its
    /// tasks, to tell whether a later owner has taken over all of them.
    bool known_to_requester(const wire::job_order& order) const
    {
        return order.worker_revision == 0 || added_in <= order.worker_revision;
    }

    /// True if it runs the job's service and has the label that the step requires.
    bool suits(const wire::job_order& order, const wire::job_step& step) const;

    bool has_label(const std::string& label) const;
};

using worker_map = std::map<std::string, managed_worker>; ///< by id

} // namespace chivewharf::fleet
