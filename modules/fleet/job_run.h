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
///  - `waiting`: to be placed. `active`: ordered, may run. `done`: ended with success.
enum class task_state : std::uint8_t { waiting, active, done };

struct task_run {
    task_state state = task_state::waiting;
    std::uint32_t run = 0; ///< number of the last run that was ordered
    std::uint32_t failures = 0;
    std::string worker; ///< of the last run
    time_point ordered{};
    std::string saved;
};

struct step_run {
    std::vector<task_run> tasks;
    std::uint32_t done = 0;
    std::uint32_t active = 0;
};

/// Place of a task within its job.
struct task_place {
    std::size_t step = 0;
    std::size_t index = 0;
};

/// A job at the owner of a failure domain: which tasks wait, run and are done.
class job_run {
public:
    /// \param requester host that waits for the result
    job_run(wire::job_order order, std::string requester, time_point now);

    /// True if the step's predecessors are complete.
    bool step_ready(std::size_t step) const;

    /// Tasks that wait in steps that are ready.
    std::size_t placeable() const;

    bool completed() const noexcept;
    bool any_active() const noexcept;

    /// Time of the longest chain of steps by the caller's estimates.
    duration chain_estimate() const;

    /// Occupied processor time that waits, thousandths of a core times milliseconds.
    std::uint64_t waiting_work() const;

    /// `JOB.0.STEP.INDEX`
    std::string task_name(task_place place) const;

    /// Id of the job of a task.
    static std::string job_of(std::string_view task_name);

    /// Place of the task with the name. Call it only with names that `task_name` made.
    static task_place place_of(std::string_view task_name);

    task_run& task(task_place place) { return steps[place.step].tasks[place.index]; }

    wire::job_order order;
    std::string requester;
    time_point arrived; ///< at the host that the caller reached
    time_point deadline;
    std::vector<step_run> steps;
    bool started = false;               ///< a start was ordered at some time
    std::optional<time_point> orphaned; ///< since the link to the requester was lost
};

} // namespace chivewharf::fleet
