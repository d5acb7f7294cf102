#include "log_store.h"

namespace chivewharf::testing_support {

using nlohmann::json;

std::uint64_t log_store::append(const std::string& stream, std::string data)
{
    auto& state = streams_[stream];
    state.records.push_back({state.next, wall_now_ms(), std::move(data)});
    trim(state);
    ++appended_;
    return state.next++;
}

json log_store::read(const std::string& stream, std::uint64_t from, std::size_t limit) const
{
    json answer{{"first", 0}, {"next", from}, {"records", json::array()}};
    const auto found = streams_.find(stream);
    if (found == streams_.end()) {
        answer["next"] = 0;
        return answer;
    }
    const auto& state = found->second;
    answer["first"] = state.records.empty() ? state.next : state.records.front().offset;
    answer["next"] = state.next;
    for (const auto& entry : state.records) {
        if (entry.offset < from)
            continue;
        if (answer["records"].size() == limit) {
            answer["next"] = entry.offset;
            break;
        }
        answer["records"].push_back(
            {{"offset", entry.offset}, {"time_ms", entry.time}, {"data", entry.data}});
    }
    return answer;
}

std::uint64_t log_store::next(const std::string& stream) const
{
    const auto found = streams_.find(stream);
    return found == streams_.end() ? 0 : found->second.next;
}

void log_store::set_max_records(std::size_t count)
{
    max_records_ = count;
    for (auto& [name, state] : streams_)
        trim(state);
}

void log_store::trim(stream_state& stream) const
{
    while (stream.records.size() > max_records_)
        stream.records.pop_front();
}

} // namespace chivewharf::testing_support
