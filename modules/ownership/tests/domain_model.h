#pragma once

#include <array>
#include <base/base.h>
#include <map>
#include <memory>
#include <optional>
#include <ownership/ownership.h>
#include <string>
#include <submission/submission.h>
#include <vector>

namespace chivewharf::ownership {

/// A safety check that the model disables, to show that the invariants depend on it.
enum class removed_guard : std::uint8_t {
    none,
    lease,           ///< starts without asking `may_start`
    quarantine,      ///< treats a quarantined slot as proved
    read_back,       ///< treats a slot as owned as soon as its claim was sent
    promise,         ///< gives promises that do not block the host's own claims
    duplicate_check, ///< admits every submission as new
};

/// Simulates the entry hosts of one domain, their log, callers and runners in virtual time. Each
/// operation is a number that determines its kind and its random choices, so that a history can be
/// shrunk and stored.
class domain_model {
public:
    /// \param calm reduces kills and pauses, so that owners depend on promises for a long time
    domain_model(std::uint32_t hosts, bool calm, removed_guard removed);

    /// Executes one operation and then runs the hosts.
    void step(std::uint32_t operation);

    /// First violation of an invariant; empty if there is none.
    const std::string& violation() const noexcept { return violation_; }

    std::uint64_t starts() const noexcept { return starts_; }
    std::uint64_t final_answers() const noexcept { return final_answers_; }

private:
    /// One incarnation of an entry host.
    struct host {
        std::string name;
        std::optional<submission::id_issuer> issuer;
        std::unique_ptr<slot_owner> owner;
        submission::submission_table table;
        std::map<std::size_t, submission::answer_ptr> answers; ///< final answers by submission
        std::vector<std::size_t> admitted; ///< submissions admitted by this host
        std::array<bool, slot_count> claim_sent{};
        bool alive = false;
        bool log_disconnected = false;
        bool peers_disconnected = false;
        time_point paused_until{};
    };

    /// A submission as seen by its caller and the runners.
    struct job {
        submission::submission_id id;
        submission::submission_key key;
        time_point first{};
        time_point deadline{};
        std::vector<int> started; ///< number of starts of each task
        /// Answered with "not run", and not submitted again by the caller since.
        bool not_run = false;
    };

    /// A copy of a request that is still in transit.
    struct request_copy {
        std::size_t job;
        std::size_t host;
    };

    std::uint32_t random_below(std::uint32_t below);
    bool chance(std::uint32_t percent) { return random_below(100) < percent; }
    bool active(const host& h) const { return h.alive && h.paused_until <= now_; }
    bool reachable(const host& from, const host& to) const;
    void start_host(host& h);
    void new_job(bool issued);
    void resubmit();
    void deliver(std::size_t job, host& at);
    void submit(std::size_t job, host& at);
    void cancel(std::size_t job);
    void hand_over(host& from);
    host* route(const job& j, host& at);
    bool may_admit(const job& j, host& h) const;
    bool may_start(const job& j, std::uint64_t epoch, host& h) const;
    slot_verdict without_guard(slot_verdict verdict, unsigned slot, const host& h) const;
    void append(host& from, const append_action& action);
    void read_log(host& h);
    void run_host(host& h);
    void ask_promises(host& h, const promise_request& request);
    void start_tasks(host& h);
    void run_task(host& h, std::size_t job, std::uint32_t task, std::uint32_t attempt);
    void check_answer(host& h, std::size_t job, const submission::answer_ptr& reply);
    void advance(duration d);
    void record_violation(std::string what);

    bool calm_;
    removed_guard removed_;
    std::uint64_t random_ = 0; ///< state of a SplitMix64 generator, which is cheap to seed
    time_point now_;
    std::uint64_t incarnations_ = 0;
    std::vector<host> hosts_;
    std::vector<std::string> log_;
    std::vector<job> jobs_;
    std::vector<request_copy> requests_in_transit_;
    std::uint64_t starts_ = 0;
    std::uint64_t final_answers_ = 0;
    std::string violation_;
};

} // namespace chivewharf::ownership
