#pragma once

#include "cluster.h"

#include <base/rng.h>
#include <deque>
#include <runtime/timer.h>
#include <string>
#include <vector>

namespace chivewharf::soak {

/// What a caller saw of one request.
struct reply {
    std::string operation; ///< submit, fetch or cancel
    int entry;
    long incarnation; ///< count of starts of the entry process
    wall_ms sent;
    wall_ms received;
    runtime::call_outcome how;
    json body; ///< discarded unless a whole JSON answer arrived

    bool answered() const { return body.is_object(); }
    std::string outcome() const { return answered() ? body.value("outcome", "") : ""; }
    std::string why() const { return answered() ? body.value("reason", "") : ""; }
    std::string work() const { return answered() ? body.value("work", "") : ""; }
};

struct submission_record {
    std::string id;
    int customer;
    std::size_t tasks;
    wall_ms first_sent = 0;
    std::string body;
    std::vector<reply> replies;
    int open = 0;
    int tries = 0;
    bool settled = false;

    bool idempotent_single() const { return customer == 1 && tasks == 1; }
};

/// Callers of both organisations. Each has one submission at a time, which it resubmits to any
/// entry host when the answer is lost, and sometimes submits twice, fetches or cancels.
class callers {
public:
    callers(cluster& all, std::uint64_t seed, int count, double scale);

    void start();
    /// Sends nothing new, waits for what is open, then fetches what has no final answer.
    void finish(std::function<void()> done);

    std::deque<submission_record>& records() { return records_; }
    int outstanding(int entry) const { return outstanding_[entry]; }

private:
    struct issued_id {
        std::string id;
        wall_ms at;
    };

    void after(duration delay, std::function<void()> call);
    std::uint64_t below(std::uint64_t limit) { return random_() % limit; }
    int pick_entry();
    std::string make_id();
    std::string make_body(submission_record& record);
    void next_submission();
    void think();
    void send(submission_record& record, const std::string& operation, bool leads);
    void ended(submission_record& record, reply&& got, bool leads);
    void decide(submission_record& record, const reply& got);
    void again(submission_record& record, const std::string& operation, duration delay);
    void sweep();
    void poll_finished();

    cluster& all_;
    rng random_;
    int count_;
    double scale_;
    bool stopping_ = false;
    bool final_round_ = false;
    int open_ = 0;
    int waiting_ = 0;
    int rounds_ = 0;
    std::uint64_t number_ = 0;
    int outstanding_[entry_count] = {};
    std::deque<submission_record> records_;
    std::deque<issued_id> ids_;
    std::function<void()> done_;
    runtime::timer poll_;
};

} // namespace chivewharf::soak
