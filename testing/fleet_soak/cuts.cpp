#include "cuts.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace chivewharf::fleet_soak {

namespace {

/// A request whose last byte was written at most this long before the end of the connection became
/// visible may have arrived while the host ended the connection.
constexpr duration race_window = milliseconds{5};
/// Maximum difference between a line of a host's log and the moment at which the caller saw the
/// end.
constexpr std::int64_t log_tolerance_ms = 25;

/// Value of `key=` in a log line; empty if it is absent.
std::string field(const std::string& line, const std::string& key)
{
    const auto found = line.find(' ' + key + '=');
    const auto begin = found == std::string::npos ? line.size() : found + key.size() + 2;
    return line.substr(begin, line.find(' ', begin) - begin);
}

/// True if the line tells that the host ended a connection on which a whole request could have
/// arrived: it had been read, or some bytes were unread.
bool ends_request(const std::string& line)
{
    if (line.find("event=connection_ended") == std::string::npos)
        return false;
    const auto stage = field(line, "request");
    return stage == "complete" || stage == "in_work" || field(line, "unread_bytes") != "0";
}

/// Wall time in ms of a line that begins with `time=`; 0 if it does not.
std::int64_t wall_time(const std::string& line)
{
    const std::string_view key = "time=";
    const auto text = line.substr(key.size(), line.find(' ') - key.size());
    auto* time = g_date_time_new_from_iso8601(text.c_str(), nullptr);
    if (time == nullptr)
        return 0;
    const auto ms = 1000 * g_date_time_to_unix(time) + g_date_time_get_microsecond(time) / 1000;
    g_date_time_unref(time);
    return ms;
}

std::vector<std::int64_t> read_ends(const std::string& log)
{
    std::vector<std::int64_t> result;
    for (const auto* suffix : {"", ".err"}) {
        std::ifstream file{log + suffix};
        for (std::string line; std::getline(file, line);) {
            if (ends_request(line))
                result.push_back(wall_time(line));
        }
    }
    return result;
}

} // namespace

bool cuts::is_raced(const cut_request& cut) const
{
    return cut.request.end_visible_when_written || cut.ended - cut.request.written <= race_window;
}

bool cuts::take_log_line(const cut_request& cut)
{
    const auto [entry, added] = ends_.try_emplace(cut.host_log);
    auto& times = entry->second;
    if (added)
        times = read_ends(cut.host_log);
    const auto found = std::find_if(times.begin(), times.end(), [&](std::int64_t time) {
        return std::abs(time - cut.ended_wall_ms) <= log_tolerance_ms;
    });
    if (found == times.end())
        return false;
    times.erase(found);
    return true;
}

std::string cuts::describe(const cut_request& cut) const
{
    const auto& request = cut.request;
    const auto job = evidence_.jobs.find(request.job);
    const bool started = job != evidence_.jobs.end() && job->second.started;
    return std::to_string(to_ms(cut.ended - evidence_.started_at)) +
           " ms: " + (request.job.empty() ? "request" : "job " + request.job) + " cut " +
           std::to_string(to_ms(cut.ended - request.written)) + " ms after its last byte" +
           (started ? ", started" : "") + (cut.response_begun ? ", response begun" : "") +
           (request.end_visible_when_written ? ", end visible when written" : "") + ", " +
           std::to_string(cut.earlier_responses) + " earlier responses, host " +
           (cut.host_stopping ? "stopping" : "running") + ", log " +
           std::filesystem::path{cut.host_log}.filename().string();
}

void cuts::report()
{
    // Lines of the log are matched to the clear cases first, because several connections may end at
    // the same time.
    std::stable_partition(cuts_.begin(), cuts_.end(),
                          [this](const cut_request& cut) { return !is_raced(cut); });
    for (const auto& cut : cuts_) {
        const bool in_log = take_log_line(cut);
        const bool late = cut.ended > cut.request.deadline;
        const auto text = describe(cut) + (in_log ? ", in the host's log" : "");
        if (late)
            std::cout << "after its deadline: " << text << '\n';
        else if (is_raced(cut) && !in_log)
            std::cout << "raced: " << text << '\n';
        else
            evidence_.violations.push_back(text);
    }
}

} // namespace chivewharf::fleet_soak
