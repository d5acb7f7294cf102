#include "start_ledger.h"

namespace chivewharf::testing_support {

void start_ledger::record_start(const std::string& task, wall_ms now, std::string where)
{
    auto& record = starts_[task];
    if (record.count++ == 0)
        record.first = now;
    record.last = now;
    record.where += std::move(where) + '@' + std::to_string(now) + ' ';
}

nlohmann::json start_ledger::start_counts() const
{
    auto out = nlohmann::json::object();
    for (const auto& [task, record] : starts_)
        out[task] = record.count;
    return out;
}

nlohmann::json start_ledger::start_details() const
{
    auto out = nlohmann::json::object();
    for (const auto& [task, record] : starts_)
        out[task] = {record.count, record.first, record.last, record.where};
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
    for (const auto& [task, record] : starts_) {
        starts += record.count;
        if (record.count > 1)
            repeated.push_back(task);
    }
    return {{"tasks", starts_.size()}, {"starts", starts}, {"started_twice", repeated}};
}

} // namespace chivewharf::testing_support
