#include "start_ledger.h"

namespace chivewharf::testing_support {

std::uint64_t start_ledger::starts_of(const std::string& task) const
{
    const auto found = starts_.find(task);
    return found == starts_.end() ? 0 : found->second;
}

nlohmann::json start_ledger::summary() const
{
    std::uint64_t starts = 0;
    auto repeated = nlohmann::json::array();
    for (const auto& [task, count] : starts_) {
        starts += count;
        if (count > 1)
            repeated.push_back(task);
    }
    return {{"tasks", starts_.size()}, {"starts", starts}, {"started_twice", repeated}};
}

} // namespace chivewharf::testing_support
