#include "summary.h"

#include <algorithm>

namespace chivewharf::testing_support {

using nlohmann::json;

namespace {

json percentiles(std::vector<duration> values)
{
    if (values.empty())
        return nullptr;
    std::sort(values.begin(), values.end());
    const auto at = [&values](double share) {
        const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size()));
        return to_seconds(values[std::min(index, values.size() - 1)]) * 1000.0;
    };
    return {{"p50", at(0.5)}, {"p90", at(0.9)}, {"p99", at(0.99)}, {"max", at(1.0)}};
}

} // namespace

json summary::to_json(duration elapsed, const std::vector<submission_record>& submissions,
                      bool list) const
{
    const auto count_matching = [&submissions](auto predicate) {
        return std::count_if(submissions.begin(), submissions.end(), predicate);
    };
    json result{
        {"seconds", to_seconds(elapsed)},
        {"responses", latencies_.size()},
        {"per_second", static_cast<double>(latencies_.size()) / to_seconds(elapsed)},
        {"latency_ms", percentiles(latencies_)},
        {"first_response_ms", percentiles(first_responses_)},
        {"outcomes", outcomes_},
        {"wrong_answers", count_matching([](const auto& record) { return record.wrong_answer; })},
        {"conflicting_answers",
         count_matching([](const auto& record) { return record.conflicting; })},
        {"unanswered", count_matching([](const auto& record) { return record.answers == 0; })},
    };
    if (!list)
        return result;
    auto& list_json = result["submissions"] = json::array();
    for (const auto& record : submissions) {
        list_json.push_back({{"id", record.id},
                             {"outcome", record.outcome},
                             {"reason", record.reason},
                             {"work", record.work},
                             {"tasks", record.tasks},
                             {"sends", record.sends},
                             {"answers", record.answers},
                             {"cancel_sent", record.cancel_sent}});
    }
    return result;
}

} // namespace chivewharf::testing_support
