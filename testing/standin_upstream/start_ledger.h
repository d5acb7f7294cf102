#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>

namespace chivewharf::testing_support {

/// Counts the starts of every task over all runners of the process.
class start_ledger {
public:
    void started(const std::string& task) { ++starts_[task]; }

    std::uint64_t starts_of(const std::string& task) const;

    /// Totals, and the tasks that were started more than once.
    nlohmann::json summary() const;

    /// Starts of every task by its name.
    nlohmann::json all() const { return starts_; }

private:
    std::unordered_map<std::string, std::uint64_t> starts_;
};

} // namespace chivewharf::testing_support
