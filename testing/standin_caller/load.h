#pragma once

#include "connection.h"
#include "summary.h"

#include <base/rng.h>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <runtime/timer.h>
#include <string>
#include <vector>

namespace chivewharf::testing_support {

/// Where the ids of submissions come from: the `Chivewharf-Next-Id` of the previous response,
/// blocks from `POST /v1/ids`, or names that the caller makes up.
enum class id_source { next, post, own };

/// The load to produce.
struct load_options {
    std::vector<std::string> targets; ///< `IP:PORT`; connections take them in turn
    bool direct = false;              ///< the targets are runners, called with the task protocol
    std::string token;
    std::string service;
    std::string id_prefix; ///< of the caller's own ids
    id_source ids = id_source::next;
    unsigned connections = 1;
    std::uint64_t requests = 1000; ///< submissions
    double rate = 0;               ///< submissions a second; 0 sends as fast as answers arrive
    unsigned tasks = 1;
    double least_run_ms = 0;
    double most_run_ms = 0;
    double deadline_ms = 2000;
    double resubmit = 0;    ///< probability that a submission is sent a second time
    double cancel = 0;      ///< probability that a submission is cancelled
    unsigned max_sends = 3; ///< of one submission whose connections end without an answer
    std::uint64_t seed = 1;
};

/// Sends submissions over a fixed number of connections and collects the answers.
class load {
public:
    /// \param ended called once after the last answer
    load(load_options options, std::function<void()> ended);

    void start();

    const summary& results() const noexcept { return summary_; }
    const std::vector<submission_record>& submissions() const noexcept { return submissions_; }
    duration took() const noexcept { return ended_at_ - started_at_; }

private:
    enum class operation { submit, cancel };
    struct client {
        std::unique_ptr<connection> link;
        std::deque<std::string> ids;
        bool first = true;
    };
    struct planned {
        operation what = operation::submit;
        std::size_t submission = 0;
    };

    void feed(client& one);
    void feed_all();
    void keep_rate();
    void fetch_ids(client& one);
    void begin(client& one);
    void run(client& one, planned todo);
    void answered(client& one, planned todo, time_point sent, std::optional<raw_response> response);
    void judge(planned todo, const raw_response& response);
    void plan_follow_ups(std::size_t submission);
    void plan(planned todo, duration delay);
    void end_if_done();
    std::string make_body();
    std::string text_of(const client& one, planned todo) const;
    double random();

    load_options options_;
    std::function<void()> ended_;
    rng random_;
    summary summary_;
    std::vector<submission_record> submissions_;
    std::vector<std::string> bodies_;
    std::vector<client> clients_;
    std::deque<planned> due_;
    std::multimap<time_point, planned> later_;
    runtime::timer ticks_;
    std::uint64_t begun_ = 0;
    std::uint64_t own_ids_ = 0;
    std::size_t under_way_ = 0;
    time_point started_at_{};
    time_point ended_at_{};
};

} // namespace chivewharf::testing_support
