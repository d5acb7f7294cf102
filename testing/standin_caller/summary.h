#pragma once

#include <base/time.h>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace chivewharf::testing_support {

/// What the caller knows of one submission.
struct submission_record {
    std::string id;
    std::string outcome; ///< of the latest answer; empty before the first
    std::string reason;
    std::string work;
    unsigned tasks = 0;
    unsigned sends = 0;
    unsigned answers = 0;
    bool cancel_sent = false;
    /// The answer names another id or has another number of task answers than the request.
    bool wrong_answer = false;
    /// Two answers that end the submission disagree.
    bool conflicting = false;
};

/// Collects what the load produced and prints it as JSON.
class summary {
public:
    void answered(duration latency) { latencies_.push_back(latency); }
    void first_response(duration since_connect) { first_responses_.push_back(since_connect); }
    void count(const std::string& outcome) { ++outcomes_[outcome]; }

    /// \param list include one entry for each submission
    nlohmann::json to_json(duration took, const std::vector<submission_record>& submissions,
                           bool list) const;

private:
    std::vector<duration> latencies_;
    std::vector<duration> first_responses_;
    std::map<std::string, std::uint64_t> outcomes_;
};

} // namespace chivewharf::testing_support
