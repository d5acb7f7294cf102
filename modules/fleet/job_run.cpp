#include <fleet/job_run.h>

#include <algorithm>
#include <charconv>

namespace chivewharf::fleet {

namespace {

/// Runs of a later attempt begin above those of earlier ones, which a worker may have seen.
constexpr std::uint32_t runs_per_attempt = 16;

} // namespace

job_run::job_run(wire::job_order the_order, std::string the_requester, time_point now)
    : order{std::move(the_order)}, requester{std::move(the_requester)},
      arrived{now - milliseconds{order.age_ms}}, deadline{now + milliseconds{order.remaining_ms}}
{
    const auto attempt = std::max<std::uint32_t>(order.attempt, 1);
    const std::uint32_t first = (attempt - 1) * runs_per_attempt;
    for (const auto& step : order.steps) {
        auto& one = steps.emplace_back();
        one.tasks.resize(step.count);
        for (auto& task : one.tasks)
            task.run = first;
    }
}

bool job_run::step_ready(std::size_t step) const
{
    const auto& before = order.steps[step].depends_on;
    return std::all_of(before.begin(), before.end(), [this](std::uint32_t earlier) {
        return steps[earlier].done == steps[earlier].tasks.size();
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

bool job_run::completed() const noexcept
{
    return std::all_of(steps.begin(), steps.end(),
                       [](const step_run& one) { return one.done == one.tasks.size(); });
}

bool job_run::any_active() const noexcept
{
    return std::any_of(steps.begin(), steps.end(),
                       [](const step_run& one) { return one.active > 0; });
}

duration job_run::chain_estimate() const
{
    std::vector<duration> end(steps.size());
    duration longest{0};
    for (std::size_t i = 0; i < steps.size(); ++i) {
        duration begin{0};
        for (const auto earlier : order.steps[i].depends_on)
            begin = std::max(begin, end[earlier]);
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

std::string job_run::task_name(task_place place) const
{
    return order.job + ".0." + std::to_string(place.step) + '.' + std::to_string(place.index);
}

std::string job_run::job_of(std::string_view task_name)
{
    return std::string{task_name.substr(0, task_name.find('.'))};
}

task_place job_run::place_of(std::string_view task_name)
{
    task_place place;
    const auto last = task_name.rfind('.');
    const auto before = task_name.rfind('.', last - 1);
    std::from_chars(task_name.data() + last + 1, task_name.data() + task_name.size(), place.index);
    std::from_chars(task_name.data() + before + 1, task_name.data() + last, place.step);
    return place;
}

} // namespace chivewharf::fleet
