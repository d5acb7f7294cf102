#include <fleet/placement.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace chivewharf::fleet {

namespace {

/// Single run times are off by about 40%, so the learned speeds of equal workers differ by chance.
constexpr double band_ratio = 1.25;
/// Safety factor on the expected run time in the check whether a placement meets the objective.
constexpr double run_time_margin = 1.3;
/// Factor on the expected run time of a task away from its data, if no worker meets the objective.
constexpr double away_from_data_factor = 3;
/// Remainders are compared in steps of the typical demand divided by this.
constexpr std::int64_t remainder_steps = 8;

/// Order of preference; the least is chosen.
using preference = std::tuple<bool, bool, bool, int, std::int64_t, std::int64_t>;

preference preference_for(const placement_candidate& worker, const placement_request& request)
{
    const auto left = worker.free_milli - request.demand_milli;
    const auto step = std::max<std::int64_t>(request.typical_milli / remainder_steps, 1);
    const auto unusable = unusable_remainder(left, request.typical_milli) / step;
    const auto expected = to_seconds(request.run_time) / worker.speed;
    if (expected * run_time_margin <= to_seconds(request.time_left))
        return {worker.ran_last,          false,    !worker.near_data,
                speed_band(worker.speed), unusable, left};
    const auto speed = worker.near_data ? worker.speed : worker.speed / away_from_data_factor;
    return {worker.ran_last, true, false, -speed_band(speed), unusable, left};
}

} // namespace

int speed_band(double speed)
{
    return static_cast<int>(std::lround(std::log(speed) / std::log(band_ratio)));
}

std::int64_t unusable_remainder(std::int64_t left_milli, std::int64_t typical_milli)
{
    return typical_milli > 0 ? left_milli % typical_milli : left_milli;
}

std::optional<std::size_t> choose_placement(const std::vector<placement_candidate>& candidates,
                                            const placement_request& request)
{
    std::optional<std::size_t> best;
    preference best_preference;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto one = preference_for(candidates[i], request);
        if (best && best_preference <= one)
            continue;
        best = i;
        best_preference = one;
    }
    return best;
}

} // namespace chivewharf::fleet
