#pragma once

#include <base/time.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>
#include <wire/messages.h>

namespace chivewharf::fleet {

/// State of one task at the owner.
///  - `waiting`: not placed yet. `active`: its start was ordered, and it may be running. `done`: it
///    succeeded.
enum class task_state : std::uint8_t { waiting, active, done };

struct task_run {
    task_state state = task_state::waiting;
    std::uint32_t run = 0; ///< number of the last run that was ordered
    std::uint32_t failures = 0;
    std::string worker; ///< of the last run
    time_point ordered_at{};
    std::string saved;
};

struct step_run {
    std::vector<task_run> tasks;
    std::uint32_t done = 0;
    std::uint32_t active = 0;
};

/// Length of the job's critical path, the longest chain of dependent steps, by the caller's
/// estimates.
duration critical_path_estimate(const wire::job_order& order);

/// Position of a task within its job.
struct task_position {
    std::size_t step = 0;
    std::size_t index = 0;
};

/// State of a job at its shard owner: which tasks are waiting, active and done.
class job_run {
public:
    /// \param requester host that waits for the result
    job_run(wire::job_order order, std::string requester, time_point now);

    /// True if the step's predecessors are complete.
    bool step_ready(std::size_t step) const;

    /// Number of waiting tasks in steps that are ready.
    std::size_t placeable() const;

    bool completed() const noexcept;
    bool any_active() const noexcept;

    duration critical_path_estimate() const { return fleet::critical_path_estimate(order); }

    /// Estimated processor time of all waiting tasks, in thousandths of a core times milliseconds.
    std::uint64_t waiting_work() const;

    /// Processor demand of the waiting tasks in steps that are ready, in thousandths of a core.
    std::int64_t waiting_demand() const;

    /// The first waiting task of a step that is ready; none if there is none.
    std::optional<task_position> first_waiting() const;

    /// `JOB.0.STEP.INDEX`
    std::string task_name(task_position position) const;

    /// What the names of all tasks of a job begin with, or those of one of its steps.
    static std::string task_prefix(const std::string& job) { return job + '.'; }
    static std::string task_prefix(const std::string& job, std::size_t step);

    /// Id of the job that a task belongs to.
    static std::string job_of(std::string_view task_name);

    /// Position of the task with the name. Call it only with names from `task_name`.
    static task_position position_of(std::string_view task_name);

    task_run& task(task_position position) { return steps[position.step].tasks[position.index]; }

    wire::job_order order;
    std::string requester;
    time_point arrived; ///< when the host that the caller reached received it
    time_point deadline;
    std::vector<step_run> steps;
    std::uint32_t priority = 0;               ///< with which it waits
    bool waits = false;                       ///< it is in the owner's queue
    bool started = false;                     ///< the start of a task was ordered
    bool former_run_logged = false;           ///< that it waits for the end of a former run
    duration longest_run{};                   ///< of its completed tasks
    std::optional<time_point> orphaned_since; ///< when the link to the requester was lost
};

} // namespace chivewharf::fleet
