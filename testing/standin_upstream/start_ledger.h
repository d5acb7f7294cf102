#pragma once

#include <base/time.h>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>

namespace chivewharf::testing_support {

/// Counts the starts of each task across all runners of the process.
class start_ledger {
public:
    /// \param where runner and attempt, used to trace duplicate starts
    void record_start(const std::string& task, wall_ms now, std::string where);

    std::uint64_t starts_of(const std::string& task) const;

    /// Totals, and the names of tasks started more than once.
    nlohmann::json summary() const;

    /// Number of starts by task name.
    nlohmann::json start_counts() const;

    /// Details of the starts by task name: `{task: [count, first ms, last ms, where]}`.
    nlohmann::json start_details() const;

private:
    struct entry {
        std::uint64_t count = 0;
        wall_ms first = 0;
        wall_ms last = 0;
        std::string where;
    };

    std::unordered_map<std::string, entry> starts_;
};

} // namespace chivewharf::testing_support
