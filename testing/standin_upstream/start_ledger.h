#pragma once

#include <base/time.h>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>

namespace chivewharf::testing_support {

/// Counts the starts of every task over all runners of the process.
class start_ledger {
public:
    /// \param now wall time
    /// \param where runner and attempt, which help to trace a second start
    void started(const std::string& task, wall_ms now, std::string where);

    std::uint64_t starts_of(const std::string& task) const;

    /// Totals, and the tasks that were started more than once.
    nlohmann::json summary() const;

    /// Starts of every task by its name.
    nlohmann::json all() const;

    /// Starts of every task: `{task: [count, first ms, last ms, where]}`.
    nlohmann::json times() const;

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
