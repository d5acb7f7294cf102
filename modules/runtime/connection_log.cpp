#include <runtime/connection_log.h>

#include <base/log_line.h>
#include <string>

namespace chivewharf::runtime {

bool connection_log::should_log(bool had_request, time_point now)
{
    if (now - second_start_ >= seconds{1}) {
        second_start_ = now;
        lines_this_second_ = 0;
    }
    const auto limit = had_request ? lines_per_second : lines_per_second / 2;
    if (lines_this_second_ >= limit) {
        ++dropped_;
        return false;
    }
    ++lines_this_second_;
    return true;
}

void connection_log::add(const connection_end& end, time_point now)
{
    const auto cause = std::string{to_name(end.cause)};
    const auto stage = std::string{to_name(end.stage)};
    ++metrics_.counter(connections_ended_metric,
                       "cause=\"" + cause + "\",request=\"" + stage + '"');
    const bool had_request = end.stage != request_stage::none || end.unread_bytes > 0;
    if (!should_log(had_request, now))
        return;
    log_line{"connection_ended"}
        .add("cause", cause)
        .add("limit", to_name(end.limit))
        .add("request", stage)
        .add("unread_bytes", std::uint64_t{end.unread_bytes})
        .add("unacknowledged_bytes", std::uint64_t{end.unacknowledged_bytes})
        .add("unused_ms", to_ms(end.unused))
        .add("lines_dropped", dropped_)
        .write();
}

} // namespace chivewharf::runtime
