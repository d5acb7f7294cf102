#include <fleet/job_run.h>

#include <algorithm>
#include <charconv>

namespace chivewharf::fleet {

namespace {

/// Run numbers reserved for each attempt. A later attempt uses higher numbers than earlier ones,
/// whose runs a worker may already know.
constexpr std::uint32_t runs_per_attempt = 16;

} // namespace

job_run::job_run(wire::job_order the_order, std::string the_requester, time_point now)
    : order{std::move(the_order)}, requester{std::move(the_requester)},
      arrived{now - milliseconds{order.age_ms}}, deadline{now + milliseconds{order.remaining_ms}}
{
    const auto attempt = std::max<std::uint32_t>(order.attempt, 1);
    const std::uint32_t first = (attempt - 1) * runs_per_attempt;
    for (const auto& step : order.steps) {
        auto& step_state = steps.emplace_back();
        step_state.tasks.resize(step.count);
        for (auto& task : step_state.tasks)
            task.run = first;
    }
}

bool job_run::step_ready(std::size_t step) const
{
    const auto& dependencies = order.steps[step].depends_on;
    return std::all_of(dependencies.begin(), dependencies.end(), [this](std::uint32_t dependency) {
        return steps[dependency].done == steps[dependency].tasks.size();
    });
}

std::size_t job_run::placeable() const
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < steps.size(); ++i) {
        if (step_ready(i))
            count += steps[i].tasks.size() - steps[i].done - steps[i].active;
    }
    return count;
}

std::int64_t job_run::waiting_demand() const
{
    std::int64_t demand = 0;
    for (std::size_t i = 0; i < steps.size(); ++i) {
        const auto waiting = steps[i].tasks.size() - steps[i].done - steps[i].active;
        if (step_ready(i))
            demand += static_cast<std::int64_t>(waiting) * order.steps[i].cpu_milli;
    }
    return demand;
}

bool job_run::completed() const noexcept
{
    return std::all_of(steps.begin(), steps.end(),
                       [](const step_run& step) { return step.done == step.tasks.size(); });
}

bool job_run::any_active() const noexcept
{
    return std::any_of(steps.begin(), steps.end(),
                       [](const step_run& step) { return step.active > 0; });
}

duration critical_path_estimate(const wire::job_order& order)
{
    std::vector<duration> end(order.steps.size());
    duration longest{0};
    for (std::size_t i = 0; i < order.steps.size(); ++i) {
        duration begin{0};
        for (const auto dependency : order.steps[i].depends_on)
            begin = std::max(begin, end[dependency]);
        end[i] = begin + milliseconds{order.steps[i].estimate_ms};
        longest = std::max(longest, end[i]);
    }
    return longest;
}

std::uint64_t job_run::waiting_work() const
{
    std::uint64_t work = 0;
    for (std::size_t i = 0; i < steps.size(); ++i) {
        const auto waiting = steps[i].tasks.size() - steps[i].done - steps[i].active;
        work += std::uint64_t{waiting} * order.steps[i].cpu_milli * order.steps[i].estimate_ms;
    }
    return work;
}

std::optional<task_position> job_run::first_waiting() const
{
    for (std::size_t step = 0; step < steps.size(); ++step) {
        if (!step_ready(step))
            continue;
        const auto& tasks = steps[step].tasks;
        const auto found = std::find_if(tasks.begin(), tasks.end(), [](const task_run& task) {
            return task.state == task_state::waiting;
        });
        if (found != tasks.end())
            return task_position{step, static_cast<std::size_t>(found - tasks.begin())};
    }
    return std::nullopt;
}

std::string job_run::task_name(task_position position) const
{
    return task_prefix(order.job, position.step) + std::to_string(position.index);
}

std::string job_run::task_prefix(const std::string& job, std::size_t step)
{
    return task_prefix(job) + "0." + std::to_string(step) + '.';
}

std::string job_run::job_of(std::string_view task_name)
{
    return std::string{task_name.substr(0, task_name.find('.'))};
}

task_position job_run::position_of(std::string_view task_name)
{
    task_position position;
    const auto index_dot = task_name.rfind('.');
    const auto step_dot = task_name.rfind('.', index_dot - 1);
    std::from_chars(task_name.data() + index_dot + 1, task_name.data() + task_name.size(),
                    position.index);
    std::from_chars(task_name.data() + step_dot + 1, task_name.data() + index_dot, position.step);
    return position;
}

} // namespace chivewharf::fleet
