#pragma once

#include <base/time.h>
#include <cstddef>
#include <fleet/types.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chivewharf::fleet {

/// Resources that a running task is expected to release.
struct expected_release {
    time_point at{};
    resources demand;
};

/// Expected time of a task's end. A task that has exceeded its expected run time is expected to
/// take half as long again as it has taken so far.
time_point expected_end(time_point started, duration expected, time_point now);

/// Time at which the worker is expected to have room for the demand; none if its tasks never
/// release enough.
std::optional<time_point> room_expected_at(resources free, std::vector<expected_release> releases,
                                           const resources& demand, time_point now);

/// Which waiting jobs may start ahead of jobs that wait for room, and on which workers.
///
/// Jobs that need less than a job that found no worker are still tried (backfilling). The first job
/// of a service that found none and that a reservation helps has a worker reserved, so that smaller
/// tasks don't keep taking the room that it waits for. Each pass over the waiting jobs determines
/// the reservations anew in its order. The worker is searched anew every `search_interval`; in
/// between, a job that keeps its reservation keeps its worker.
///
/// For a load of tasks with different demands: without reservations, the largest starve while
/// smaller ones take each fragment that becomes free.
class backfill {
public:
    /// Interval at which a worker to reserve is searched. It bounds the cost, and a worker whose
    /// tasks run longer than expected is replaced.
    static constexpr duration search_interval = milliseconds{20};

    struct reservation {
        std::string job;
        std::string worker;
        time_point room_at{}; ///< when the worker is expected to have room for the job
    };

    /// Begins a pass over the waiting jobs.
    void begin_pass();

    /// A task with the demand found no worker in this pass.
    void found_no_worker(const std::string& service, const resources& demand);

    /// True if a task with at most this demand found no worker in this pass, so that a task with
    /// this demand finds none either.
    bool known_not_to_fit(const std::string& service, const resources& demand) const;

    /// True if a worker to reserve for the job is to be searched now. If the job had a reservation
    /// in the pass before and no search is due, it is kept.
    bool begin_search(const std::string& service, const std::string& job, time_point now);

    void reserve(const std::string& service, reservation one);

    /// True if the worker is reserved for another job of the service, and a task of the job would
    /// delay that one.
    /// \param end expected end of the task on the worker
    bool reserved_for_other(const std::string& service, const std::string& worker,
                            const std::string& job, time_point end) const;

private:
    std::map<std::string, resources> blocked_;    ///< by service: last demand that found no worker
    std::map<std::string, reservation> reserved_; ///< by service
    std::map<std::string, reservation> former_;   ///< of the pass before
    std::map<std::string, time_point> searched_;  ///< by service: time of the last search
};

} // namespace chivewharf::fleet
