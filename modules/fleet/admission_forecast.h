#pragma once

#include <base/time.h>
#include <cstdint>
#include <optional>

namespace chivewharf::fleet {

/// State of a shard as seen by a job of one priority. Amounts are thousandths of a core.
struct forecast_input {
    double usable_milli = 0; ///< free resources into which tasks of the job's demand fit
    double used_milli = 0;   ///< resources that tasks occupy
    double ahead_milli = 0;  ///< demand of the waiting tasks that go first
    /// Demand that arrives for each millisecond and goes before this job.
    double more_urgent_rate = 0;
    /// Mean time for which tasks occupy their resources; none if it is not known.
    std::optional<duration> mean_run_time;
};

/// Predicts the time until the last of a job's tasks starts. The free resources are filled first.
/// From then on, by Little's law, the filled resources are released at the rate of their amount
/// over the mean time for which a task occupies them. What more urgent work takes of the released
/// resources is not available to the job, except for the share that is reserved for less urgent
/// work.
///
/// With the forecast, a job that cannot start in time is refused on arrival and does not wait until
/// it is late. The forecast is based on the resources in use, because at the start of a burst they
/// fill up before the rate of completed tasks rises.
/// \param demand_milli of the job's waiting tasks
/// \param reserved_share part of the released resources that more urgent work never takes
/// \return none if too little is known for a forecast
std::optional<duration> forecast_wait(const forecast_input& load, double demand_milli,
                                      double reserved_share);

} // namespace chivewharf::fleet
