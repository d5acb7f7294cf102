#include <fleet/run_time_model.h>

#include <algorithm>
#include <cmath>

namespace chivewharf::fleet {

namespace {

/// Weights of one observation in the moving averages. Estimates of single jobs are off by about
/// 40%, so about ten tasks are needed to learn a worker's speed; a queue sees many more tasks.
constexpr double speed_weight = 0.2;
constexpr double ratio_weight = 0.02;
constexpr double longest_weight = 0.05;
/// Bounds of one observation's ratio, so that a single outlier cannot shift an average far.
constexpr double min_ratio = 0.1;
constexpr double max_ratio = 10;

double value_or(const std::map<std::string, double>& table, const std::string& key)
{
    const auto found = table.find(key);
    return found == table.end() ? 0.0 : found->second;
}

} // namespace

double run_time_model::speed(const std::string& worker) const
{
    return std::exp(value_or(log_speed_, worker));
}

double run_time_model::queue_ratio(const std::string& queue) const
{
    return std::exp(value_or(log_ratio_, queue));
}

duration run_time_model::nominal(const std::string& queue, duration estimate) const
{
    return from_seconds(to_seconds(estimate) * queue_ratio(queue));
}

duration run_time_model::expected(const std::string& queue, duration estimate,
                                  const std::string& worker) const
{
    return from_seconds(to_seconds(nominal(queue, estimate)) / speed(worker));
}

duration run_time_model::longest(const std::string& queue, duration estimate) const
{
    return from_seconds(to_seconds(nominal(queue, estimate)) *
                        std::exp(value_or(log_longest_, queue)));
}

void run_time_model::observe_longest(const std::string& queue, duration estimate, duration elapsed)
{
    if (estimate <= duration{0} || elapsed <= duration{0})
        return;
    const double ratio = std::clamp(to_seconds(elapsed) / to_seconds(longest(queue, estimate)),
                                    min_ratio, max_ratio);
    log_longest_[queue] += longest_weight * std::log(ratio);
}

void run_time_model::observe(const std::string& queue, duration estimate, const std::string& worker,
                             duration elapsed)
{
    if (estimate <= duration{0} || elapsed <= duration{0})
        return;
    const double ratio = std::clamp(
        to_seconds(elapsed) / to_seconds(expected(queue, estimate, worker)), min_ratio, max_ratio);
    log_speed_[worker] -= speed_weight * std::log(ratio);
    log_ratio_[queue] += ratio_weight * std::log(ratio);
}

} // namespace chivewharf::fleet
