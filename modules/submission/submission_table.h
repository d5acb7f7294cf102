#pragma once

#include <base/base.h>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <submission/answer.h>
#include <submission/held_index.h>
#include <submission/id_issuer.h>
#include <submission/submission_id.h>
#include <utility>
#include <vector>

namespace chivewharf::submission {

/// Opaque number by which the shell knows a request that waits for an answer.
using waiter = std::uint64_t;

/// Slot number of a submission whose id was issued, to which no ownership slot belongs.
inline constexpr std::uint8_t no_slot = 255;

/// Bounds and times of the table.
struct table_options {
    duration answer_keep = seconds{60};
    duration id_lifetime = seconds{300};                   ///< counted from the final answer
    std::size_t max_entries = 1'000'000;                   ///< submissions and bare ids
    std::size_t max_bytes = std::size_t{48} * 1024 * 1024; ///< submissions in flight or kept
    /// Part of `max_bytes` that only answers use, so that admitted work can be answered.
    std::size_t answer_reserve = std::size_t{8} * 1024 * 1024;
};

/// One task of a submission.
struct task_request {
    std::string kind;
    duration declared{}; ///< run time that the caller declared
    std::string payload;
};

/// A submission to admit.
struct submission_request {
    submission_key key;
    std::string customer;
    std::string id;
    std::string service;
    bool idempotent = false; ///< the service is declared idempotent
    std::uint8_t slot = no_slot;
    std::uint64_t slot_epoch = 0; ///< epoch of the slot's ownership at admission
    body_digest digest{};
    time_point deadline{};
    std::vector<task_request> tasks; ///< at least one
};

/// How a submission was received.
enum class receipt : std::uint8_t { unknown, admitted, joined, answered };

/// Result of `find` and `admit`. The answer is set if `kind` is `answered`, which includes
/// refusals.
struct reception {
    receipt kind = receipt::unknown;
    answer_ptr reply;
};

/// Why a task may not be sent.
enum class start_refusal : std::uint8_t { unknown, ended, not_queued, deadline_passed };

/// What became of one attempt to run a task.
enum class attempt_end : std::uint8_t {
    done,    ///< the whole answer arrived
    failed,  ///< the task ran and its result is unusable
    not_run, ///< certain that the task did not start
    lost,    ///< the task may have run
};

/// Result of one attempt.
struct attempt_result {
    attempt_end end = attempt_end::lost;
    reason why = reason::none; ///< for `failed`, `not_run` and `lost`
    std::string payload;       ///< for `done`
    std::string message;       ///< for `failed`
};

/// What the shell must do after an event of a submission.
struct consequence {
    bool matched = false;        ///< false: the event was unknown, late or a duplicate
    bool queued_again = false;   ///< the task may be sent again, within the retry budget
    answer_ptr reply;            ///< set if the submission got its final answer now
    std::vector<waiter> waiters; ///< to answer with `reply`
    std::vector<std::uint32_t> dropped_tasks; ///< queued tasks that will not be sent
    std::vector<std::uint32_t> abort_tasks;   ///< sent tasks whose connection is to be closed
};

/// A submission whose deadline passed.
struct expired_submission {
    submission_key key;
    consequence effect;
};

/// What remains of a submission, as it is handed to a new owner of its slot.
struct tombstone {
    submission_key key;
    body_digest digest{};
    reason why = reason::none;
    work_state work = work_state::may_have_run;
    std::uint8_t slot = no_slot;
};

/// Counts of events that the table dropped.
struct table_counters {
    std::uint64_t late_results = 0;       ///< the submission or the task had ended
    std::uint64_t mismatched_results = 0; ///< for an attempt other than the one under way
    std::uint64_t unknown_results = 0;    ///< for a submission or a task that is not held
};

/// The submissions and held ids of one entry host, keyed by customer and id.
///
/// A submission is queued, running, ended (its answer is kept) and then bare (only the id is
/// kept). A bare id costs under 100 bytes. A final answer never changes.
class submission_table {
public:
    explicit submission_table(table_options options = {});
    ~submission_table();
    submission_table(submission_table&&) noexcept;
    submission_table& operator=(submission_table&&) noexcept;

    /// Treats the submission as a resubmission: joins the waiter or gives the kept answer. A known
    /// id with another digest is refused with `id_body_mismatch` (not run, which refers to the
    /// body just received); a bare id with `id_expired` and the work state that is recorded.
    /// \return kind `unknown` if the id is not held
    reception find(const submission_key& key, const body_digest& digest, std::optional<waiter> who);

    /// Like `find` for a fetch, which has no body.
    reception fetch(const submission_key& key, std::optional<waiter> who);

    /// Admits the submission if it is not held, otherwise does the same as `find`. Refuses with
    /// `table_full` or `deadline_passed` (not run). Call it only for an id that this incarnation
    /// may start, since these refusals claim that no other process started it.
    reception admit(submission_request request, std::optional<waiter> who, time_point now);

    /// Forgets a waiter whose connection is gone.
    void remove_waiter(const submission_key& key, waiter who);

    /// Start check: marks a queued task as sent.
    /// \return number of the attempt, from 1 on
    result<std::uint32_t, start_refusal> may_start(const submission_key& key, std::uint32_t task,
                                                   time_point now);

    /// Takes the result of an attempt. Results that are late, duplicate or of another attempt are
    /// counted and dropped. A task goes back to the queue if it certainly did not run, or if its
    /// result was lost and it is the only task of a submission to an idempotent service.
    consequence finish_task(const submission_key& key, std::uint32_t task, std::uint32_t attempt,
                            attempt_result result, time_point now);

    /// Cancels the submission. Costs time proportional to its queued tasks, apart from freeing
    /// bodies and results; if the service is idempotent, all tasks are searched for those to abort.
    /// \return `matched` is false if it is not held or has its answer; `fetch` gives the answer
    consequence cancel(const submission_key& key, time_point now);

    /// Fails a submission that has no final answer yet, for example with `retry_budget_spent`,
    /// `no_upstream` or `customer_removed`.
    consequence fail(const submission_key& key, reason why, std::string message, time_point now);

    /// Fails submissions whose deadline passed, drops kept answers and forgets ids, at most
    /// `max_steps` in all.
    std::vector<expired_submission> tick(time_point now, std::size_t max_steps = 1000);

    /// Earliest time at which `tick` has work; none if the table is empty.
    std::optional<time_point> next_due() const;

    /// The submission while it is under way or its answer is kept; null if it is not held or bare.
    /// The payload of a task that is done is empty, and `tasks` is empty once the submission has
    /// its answer. The pointer is valid until the next change.
    const submission_request* request(const submission_key& key) const;

    /// True if the id is held in any state.
    bool holds(const submission_key& key) const { return lookup(key).has_value(); }

    /// Records of all submissions of a slot. Scans the table; used at a planned stop.
    std::vector<tombstone> export_slot(std::uint8_t slot) const;

    /// Holds the id as bare for a whole id lifetime, which is longer than the previous owner would
    /// have held it. Does nothing if the id is held.
    /// \return false if the table is full; the handover then counts as one without the records
    bool import(const tombstone& record, time_point now);

    std::size_t size() const noexcept { return index_.size(); }

    /// Bytes of the submissions in flight or kept, which count towards `max_bytes`: bodies, answers
    /// and the state of the submission and its tasks, about 0.5 KB for one task.
    std::size_t payload_bytes() const noexcept { return payload_bytes_; }

    /// Bytes allocated for records and the index, without bodies and answers.
    std::size_t held_bytes() const noexcept;

    const table_counters& counters() const noexcept { return counters_; }

private:
    enum class task_state : std::uint8_t { queued, sent, ended };
    struct task_slot;
    struct live_submission;
    struct record;

    /// Records linked in the order in which they come due.
    struct fifo {
        std::uint32_t head = none;
        std::uint32_t tail = none;
    };

    static constexpr std::uint32_t none = 0xffffffffU;
    static constexpr std::uint32_t chunk_records = 1024;

    static bool matches(const void* self, std::uint32_t number, const submission_key& key);
    std::optional<std::uint32_t> lookup(const submission_key& key) const;
    record& at(std::uint32_t number) const;
    std::uint32_t take_record();
    void release_record(std::uint32_t number);
    void push(fifo& queue, std::uint32_t number);
    void pop(fifo& queue);
    reception receive(record& held, std::optional<waiter> who);
    consequence settle(std::uint32_t number, outcome result, reason why, std::string message,
                       time_point now);
    consequence end_attempt(std::uint32_t number, std::uint32_t task, attempt_result result,
                            time_point now);
    consequence end_done(std::uint32_t number, std::uint32_t task, attempt_result result,
                         time_point now);
    consequence end_not_run(std::uint32_t number, std::uint32_t task, time_point now);
    consequence end_lost(std::uint32_t number, std::uint32_t task, attempt_result result,
                         time_point now);
    void make_bare(std::uint32_t number);
    bool step(time_point now, std::vector<expired_submission>& expired);

    table_options options_;
    held_index index_;
    std::vector<std::unique_ptr<record[]>> chunks_;
    std::uint32_t used_records_ = 0;
    std::uint32_t free_head_ = none;
    std::set<std::pair<time_point, std::uint32_t>> deadlines_;
    fifo kept_;
    fifo bare_;
    std::size_t payload_bytes_ = 0;
    table_counters counters_;
};

} // namespace chivewharf::submission

template <>
struct chivewharf::enum_names<chivewharf::submission::start_refusal> {
    static constexpr std::array<std::string_view, 4> names{"unknown", "ended", "not_queued",
                                                           "deadline_passed"};
};
