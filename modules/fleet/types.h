#pragma once

#include <algorithm>
#include <array>
#include <base/enum_names.h>
#include <base/time.h>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>
#include <wire/messages.h>

namespace chivewharf::fleet {

/// Amounts of processor time, memory and accelerators.
struct resources {
    std::int64_t cpu_milli = 0; ///< thousandths of a core
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    resources& operator+=(const resources& other) noexcept
    {
        cpu_milli += other.cpu_milli;
        memory_mb += other.memory_mb;
        accelerators += other.accelerators;
        return *this;
    }
    resources& operator-=(const resources& other) noexcept
    {
        cpu_milli -= other.cpu_milli;
        memory_mb -= other.memory_mb;
        accelerators -= other.accelerators;
        return *this;
    }
    /// True if these amounts suffice for a demand of `other`.
    bool fits(const resources& other) const noexcept
    {
        return cpu_milli >= other.cpu_milli && memory_mb >= other.memory_mb &&
               accelerators >= other.accelerators;
    }
    bool operator==(const resources&) const = default;
};

/// Resources that one task of the step occupies.
inline resources demand_of(const wire::job_step& step) noexcept
{
    return {step.cpu_milli, step.memory_mb, step.accelerators};
}

/// A worker as listed in the store for discovery.
struct worker_entry {
    std::string id;
    std::string address; ///< `IP:PORT`
    std::string service;
    std::string domain;
    std::vector<std::string> labels;
    resources capacity;
    std::int64_t incarnation = 0; ///< rises with each restart under the same id; 0 if unknown
    bool leaving = false;         ///< must not be given new tasks
    bool operator==(const worker_entry&) const = default;
};

/// The workers on which an owner may start tasks, as it tells the hosts that send it jobs.
struct worker_list {
    std::uint64_t revision = 0; ///< rises with each change, across all shards of the process
    std::set<std::string> ids;

    /// True if every worker of the other list is in this one.
    bool covers(const worker_list& other) const
    {
        return std::includes(ids.begin(), ids.end(), other.ids.begin(), other.ids.end());
    }
};

using shared_worker_list = std::shared_ptr<const worker_list>;

/// How a run of a task ended.
///  - `done`: it succeeded. `failed`: the task or its worker failed.
///  - `stopped`: on an order. `lapsed`: its lease expired, or its worker ended.
///  - `gang_member_ended`: another member of its gang ended. `gang_incomplete`: not all members of
///    its gang started in time.
enum class task_end : std::uint8_t {
    done,
    failed,
    stopped,
    lapsed,
    gang_member_ended,
    gang_incomplete
};

} // namespace chivewharf::fleet

template <>
struct chivewharf::enum_names<chivewharf::fleet::task_end> {
    static constexpr std::array<std::string_view, 6> names{"done",   "failed", "stopped",
                                                           "lapsed", "broken", "alone"};
};
