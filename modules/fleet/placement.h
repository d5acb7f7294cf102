#pragma once

#include <base/time.h>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace chivewharf::fleet {

/// A worker on which the task could start now.
struct placement_candidate {
    std::int64_t free_milli = 0; ///< free processor time, thousandths of a core
    double speed = 1;            ///< learned relative speed
    bool near_data = true;       ///< in the rack that the task prefers, or it prefers none
    bool ran_last = false;       ///< the task's last run was there and did not succeed
};

/// What the choice of a worker depends on besides the workers.
struct placement_request {
    std::int64_t demand_milli = 0;  ///< processor time of the task, thousandths of a core
    std::int64_t typical_milli = 0; ///< typical demand of the shard's tasks; 0 if it is not known
    duration run_time{};            ///< expected at speed 1
    duration time_left{};           ///< until the job's objective
};

/// Number of the band of speeds that a worker belongs to; the slowest have the lowest. The bounds
/// of a band differ by a ratio of 1.25.
int speed_band(double speed);

/// Processor time that a worker has left after a placement and that no typical task can use.
std::int64_t unusable_remainder(std::int64_t left_milli, std::int64_t typical_milli);

/// Chooses the worker for a task.
///
/// Workers that are expected to meet the objective come first, among them those of the slowest
/// band, so that fast workers stay free for long tasks; if none meets it, those of the fastest
/// band. Within a band, the best fit decides: the least remainder that no typical task can use,
/// then the least remainder. The worker of the task's last run comes last.
///
/// For a load whose tasks need about half of a worker, on workers whose learned speeds differ
/// by chance: without bands, chance decides before fit, and free processor time is scattered over
/// workers where no task fits.
/// \return index of the chosen candidate; none if there are no candidates
std::optional<std::size_t> choose_placement(const std::vector<placement_candidate>& candidates,
                                            const placement_request& request);

} // namespace chivewharf::fleet
