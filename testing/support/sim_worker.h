#pragma once

#include <cstdint>
#include <fleet/ports.h>
#include <map>
#include <string>
#include <vector>

namespace chivewharf::testing_support {

/// Behaviour of a simulated worker.
struct worker_fault {
    bool cut = false; ///< unreachable in both directions; keeps running its tasks
    bool fails_tasks = false;
    bool hangs_tasks = false;
    /// Share of orders that are not answered and are carried out seconds later.
    double late_orders = 0;
    double lost_answers = 0; ///< share of orders that are carried out but not answered
};

/// Simulated worker that follows the platform's contract: it does not check its capacity, keeps the
/// highest fencing token, ends all runs when its lease expires, and lists ended runs until they are
/// acknowledged. It reads no clock; each call passes the current time.
class sim_worker {
public:
    /// Longest lease that the worker grants, on its own clock.
    static constexpr std::int64_t max_lease_ms = 1000;

    /// Resources that a started task needs, its run time and result.
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
    double clock_rate = 1.0; ///< speed of the worker's clock against the steady clock, 0.98 to 1
    double speed = 1.0;      ///< callers that plan a task divide its run time by it
    time_point started_at{}; ///< zero of the worker's clock
    std::int64_t incarnation = 1;
    std::uint64_t token = 0;   ///< highest fencing token seen
    std::int64_t lease_ms = 0; ///< end of the lease on the worker's clock
    std::map<std::string, run_state> running;
    std::map<std::string, std::uint32_t> stopped; ///< highest run that ended or was stopped
    std::vector<fleet::ended_task> ended;
    std::uint64_t ends = 0;

    /// Time on the worker's clock in milliseconds.
    std::int64_t clock(time_point now) const;

    /// Time at which the worker's clock has passed the end of the lease.
    time_point lease_end(time_point now) const;

    /// Ends the runs that are complete, and all runs if the lease has expired.
    /// \return true if any run ended
    bool end_due_runs(time_point now);

    /// Carries out a start order.
    /// \param[out] began true if the order started a task; false if it was rejected or a duplicate
    fleet::order_reply start(const fleet::start_order& order, const task_plan& plan, time_point now,
                             bool& began);

    /// Accepts or rejects a stop order. If it is accepted, the caller ends the run later with
    /// `end_stopped`.
    fleet::order_reply stop(const fleet::stop_order& order, time_point now);

    /// Ends a run after a stop order.
    /// \return false if the run was not running
    bool end_stopped(const std::string& task, std::uint32_t run);

    /// Answers a status poll: renews the lease, and drops the ended runs that are acknowledged.
    fleet::status_reply poll_status(const fleet::status_request& request, time_point now);

    /// Loses all state, including the token and the lease, and begins a new incarnation.
    void crash(time_point now);

    /// True if the running tasks need more resources than the worker has.
    bool over_capacity() const;

private:
    /// Keeps the highest token. The reply is `fenced` if the order carries a lower one.
    fleet::order_reply accept_token(std::uint64_t order_token, time_point now);
    void end(const std::string& task, fleet::task_end how);
};

} // namespace chivewharf::testing_support
