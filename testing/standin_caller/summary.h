#pragma once

#include <base/time.h>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace chivewharf::testing_support {

/// State of one submission as seen by the caller.
struct submission_record {
    std::string id;
    std::string outcome; ///< of the latest answer, or of the first final one; empty before any
    std::string reason;
    std::string work;
    unsigned tasks = 0;
    unsigned sends = 0;
    unsigned answers = 0;
    bool cancel_sent = false;
    /// An answer had a different id or number of task answers than the request.
    bool wrong_answer = false;
    /// Two final answers reported different outcomes.
    bool conflicting = false;
};

/// Collects latencies and outcomes and reports them as JSON.
class summary {
public:
    void add_latency(duration latency) { latencies_.push_back(latency); }
    void add_first_response(duration since_connect) { first_responses_.push_back(since_connect); }
    void count_outcome(const std::string& outcome) { ++outcomes_[outcome]; }

    /// \param list whether to include an entry for each submission
    nlohmann::json to_json(duration elapsed, const std::vector<submission_record>& submissions,
                           bool list) const;

private:
    std::vector<duration> latencies_;
    std::vector<duration> first_responses_;
    std::map<std::string, std::uint64_t> outcomes_;
};

} // namespace chivewharf::testing_support
