#pragma once

#include "cluster.h"

#include <base/rng.h>
#include <deque>
#include <runtime/timer.h>
#include <string>
#include <vector>

namespace chivewharf::soak {

/// One request of a caller and its reply.
struct reply {
    std::string operation; ///< submit, fetch or cancel
    int entry;
    long incarnation; ///< count of starts of the entry process
    wall_ms sent;
    wall_ms received;
    runtime::call_outcome transport_outcome;
    json body; ///< discarded value unless a complete JSON answer arrived

    bool answered() const { return body.is_object(); }
    std::string outcome() const { return answered() ? body.value("outcome", "") : ""; }
    std::string reason() const { return answered() ? body.value("reason", "") : ""; }
    std::string work() const { return answered() ? body.value("work", "") : ""; }
};

struct submission_record {
    std::string id;
    int customer;
    std::size_t tasks;
    wall_ms first_sent = 0;
    std::string body;
    std::vector<reply> replies;
    int open = 0;         ///< requests without a reply
    int tries = 0;        ///< follow-up requests of the caller
    bool settled = false; ///< has a final answer

    /// True for a single task of the idempotent service; only such a task may run twice.
    bool idempotent_single() const { return customer == 1 && tasks == 1; }
};

/// Simulated callers of both customers. Each works on one submission at a time. It resubmits to any
/// entry host when the answer is lost, and sometimes submits twice, fetches the result or cancels.
class callers {
public:
    /// \param run_time_scale factor on the run times of all tasks
    callers(cluster& target_cluster, std::uint64_t seed, int caller_count, double run_time_scale);

    void start();
    /// Stops submitting, waits for the open requests, then fetches the result of each submission
    /// without a final answer, and calls `done`.
    void finish(std::function<void()> done);

    std::deque<submission_record>& records() { return records_; }
    /// Requests in flight to an entry host.
    int outstanding(int entry) const { return outstanding_[entry]; }

private:
    /// Id that an entry host issued for a later submission.
    struct issued_id {
        std::string id;
        wall_ms received;
    };

    void after(duration delay, std::function<void()> call);
    std::uint64_t random_below(std::uint64_t limit) { return random_() % limit; }
    int choose_entry();
    std::string make_id();
    std::string make_body(submission_record& record);
    void next_submission();
    /// Submits the next job after a random pause.
    void think();
    /// \param primary whether the reply decides the caller's next request
    void send(submission_record& record, const std::string& operation, bool primary);
    void on_response(submission_record& record, reply&& received_reply, bool primary);
    void choose_next_request(submission_record& record, const reply& received_reply);
    void schedule_request(submission_record& record, const std::string& operation, duration delay);
    /// Sends a fetch for every submission without a final answer.
    void fetch_unsettled();
    void check_finished();

    cluster& cluster_;
    rng random_;
    int caller_count_;
    double run_time_scale_;
    bool stopping_ = false;
    bool final_round_ = false;
    int open_requests_ = 0;
    int pending_timers_ = 0;
    int final_rounds_run_ = 0;
    std::uint64_t last_job_number_ = 0;
    int outstanding_[entry_count] = {};
    std::deque<submission_record> records_;
    std::deque<issued_id> issued_ids_;
    std::function<void()> done_;
    runtime::timer poll_;
};

} // namespace chivewharf::soak
