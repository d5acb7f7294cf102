#pragma once

#include "caller_connection.h"
#include "evidence.h"

#include <map>
#include <vector>

namespace chivewharf::fleet_soak {

/// A request whose connection ended before its response was complete.
struct cut_request {
    written_request request;
    std::string host_log; ///< log file of the process that the connection was opened to
    time_point ended{};
    std::int64_t ended_wall_ms = 0;
    bool response_begun = false;
    std::size_t earlier_responses = 0; ///< on the same connection
    bool host_stopping = false;
};

/// Collects the requests that were cut, and tells at the end of the run which of them a host has
/// cut and which arrived after the host had ended the connection.
class cuts {
public:
    explicit cuts(evidence& run_evidence) : evidence_{run_evidence} {}

    void add(cut_request cut) { cuts_.push_back(std::move(cut)); }

    /// Records a violation for each request that a host has cut, and prints the others.
    void report();

private:
    /// Wall times in ms at which a process ended a connection that may have had a whole request.
    using end_times = std::vector<std::int64_t>;

    bool is_raced(const cut_request& cut) const;
    /// Takes the line of the host's log that tells about the end of the connection.
    /// \return false if there is none
    bool take_log_line(const cut_request& cut);
    std::string describe(const cut_request& cut) const;

    evidence& evidence_;
    std::vector<cut_request> cuts_;
    std::map<std::string, end_times> ends_; ///< by log file
};

} // namespace chivewharf::fleet_soak
