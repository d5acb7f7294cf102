#pragma once

#include <metrics/registry.h>
#include <runtime/connection_end.h>

namespace chivewharf::runtime {

/// Counts the connections that a server has ended, by cause and stage of the request, and writes a
/// bounded number of log lines about them.
class connection_log {
public:
    /// Lines in one second. Half of them are reserved for connections that had bytes of a request.
    static constexpr std::uint32_t lines_per_second = 40;

    explicit connection_log(metrics::registry& metrics) : metrics_{metrics} {}

    void add(const connection_end& end, time_point now);

    /// Number of lines left out since the start.
    std::uint64_t dropped() const noexcept { return dropped_; }

private:
    bool should_log(bool had_request, time_point now);

    metrics::registry& metrics_;
    time_point second_start_{};
    std::uint32_t lines_this_second_ = 0;
    std::uint64_t dropped_ = 0;
};

/// Name of the counters of connections that a server has ended.
inline constexpr const char* connections_ended_metric = "chivewharf_connections_ended_total";

} // namespace chivewharf::runtime
