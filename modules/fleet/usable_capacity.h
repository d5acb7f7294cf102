#pragma once

#include <cstddef>
#include <cstdint>
#include <fleet/types.h>
#include <vector>

namespace chivewharf::fleet {

/// Resources of the workers on which tasks may be started.
///
/// For a load whose tasks need a large part of a worker: the sum of the free processor time
/// counts fragments into which no task fits.
class usable_capacity {
public:
    /// Adds a worker.
    /// \param free what no task occupies
    void add(const resources& capacity, const resources& free);

    /// Limits the processor time in use on the added workers to this share of their capacity.
    void limit(double share);

    std::size_t workers() const noexcept { return workers_.size(); }

    /// Processor time of the workers, thousandths of a core.
    std::uint64_t capacity_milli() const noexcept { return capacity_milli_; }
    std::uint64_t free_milli() const noexcept { return free_milli_; }
    std::uint64_t used_milli() const noexcept { return used_milli_; }

    /// Number of tasks with the demand that could start now; 0 if the demand is empty.
    std::uint64_t startable_tasks(const resources& demand) const;

    /// Number of tasks with the demand that could run if the workers were idle; 0 if the demand is
    /// empty.
    std::uint64_t tasks_if_idle(const resources& demand) const;

private:
    struct worker_room {
        resources capacity;
        resources free;
    };

    std::vector<worker_room> workers_;
    std::uint64_t capacity_milli_ = 0;
    std::uint64_t free_milli_ = 0;
    std::uint64_t used_milli_ = 0;
    bool limited_ = false;
};

} // namespace chivewharf::fleet
