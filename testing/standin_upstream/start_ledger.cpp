#include "start_ledger.h"

namespace chivewharf::testing_support {

void start_ledger::started(const std::string& task, wall_ms now, std::string where)
{
    auto& one = starts_[task];
    if (one.count++ == 0)
        one.first = now;
    one.last = now;
    one.where += std::move(where) + '@' + std::to_string(now) + ' ';
}

nlohmann::json start_ledger::all() const
{
    auto out = nlohmann::json::object();
    for (const auto& [task, one] : starts_)
        out[task] = one.count;
    return out;
}

nlohmann::json start_ledger::times() const
{
    auto out = nlohmann::json::object();
    for (const auto& [task, one] : starts_)
        out[task] = {one.count, one.first, one.last, one.where};
    return out;
}

std::uint64_t start_ledger::starts_of(const std::string& task) const
{
    const auto found = starts_.find(task);
    return found == starts_.end() ? 0 : found->second.count;
}

nlohmann::json start_ledger::summary() const
{
    std::uint64_t starts = 0;
    auto repeated = nlohmann::json::array();
    for (const auto& [task, one] : starts_) {
        starts += one.count;
        if (one.count > 1)
            repeated.push_back(task);
    }
    return {{"tasks", starts_.size()}, {"starts", starts}, {"started_twice", repeated}};
}

} // namespace chivewharf::testing_support
