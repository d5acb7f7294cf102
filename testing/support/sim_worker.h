#pragma once

#include <cstdint>
#include <fleet/ports.h>
#include <map>
#include <string>
#include <vector>

namespace chivewharf::testing_support {

/// Behaviour of a simulated worker.
struct worker_fault {
    bool cut = false; ///< receives and answers nothing, and runs on
    bool fails_tasks = false;
    bool hangs_tasks = false;
    /// Share of orders that get no answer and are carried out seconds later.
    double late_orders = 0;
    double lost_answers = 0; ///< share of orders that are carried out without an answer
};

/// A worker that follows the platform's contract: it does not guard its room, keeps the highest
/// token, ends what has no lease, and lists ends until they are taken note of. Has no clock of its
/// own; everything happens in calls with the time.
class sim_worker {
public:
    /// Longest lease that the worker gives, on its own clock.
    static constexpr std::int64_t longest_lease_ms = 1000;

    /// What a started task will do.
    struct task_plan {
        fleet::resources demand;
        duration run_time{};
        bool fails = false;
    };

    struct run_state {
        std::uint32_t run = 0;
        fleet::resources demand;
        time_point began{};
        time_point ends{};
        bool fails = false;
    };

    fleet::worker_entry entry;
    worker_fault fault;
    double clock_rate = 1.0; ///< of the steady clock, 0.98 to 1
    double speed = 1.0;
    time_point started_at{};
    std::int64_t incarnation = 1;
    std::uint64_t token = 0;
    std::int64_t lease_ms = 0; ///< on the worker's clock
    std::map<std::string, run_state> running;
    std::map<std::string, std::uint32_t> stopped; ///< highest run that ended or was stopped
    std::vector<fleet::ended_task> ended;
    std::uint64_t ends = 0;

    std::int64_t clock(time_point now) const;

    /// Time at which the clock reaches the end of the lease.
    time_point lease_end(time_point now) const;

    /// Ends what is done or has no lease.
    /// \return true if anything ended
    bool end_due_runs(time_point now);

    /// Carries out a start. `began` tells whether a task was started by it.
    fleet::order_reply start(const fleet::start_order& order, const task_plan& plan, time_point now,
                             bool& began);

    /// Accepts a stop. The caller ends the task a moment later with `end_stopped`.
    fleet::order_reply stop(const fleet::stop_order& order, time_point now);

    /// \return true if the run was there
    bool end_stopped(const std::string& task, std::uint32_t run);

    fleet::status_reply poll_status(const fleet::status_request& order, time_point now);

    /// Loses everything and begins a new life.
    void crash(time_point now);

    /// True if what runs needs more room than there is.
    bool over_capacity() const;

private:
    /// Keeps the highest token. The answer is final if the order showed a lower one.
    fleet::order_reply take_token(std::uint64_t shown, time_point now);
    void end(const std::string& task, fleet::task_end how);
};

} // namespace chivewharf::testing_support
