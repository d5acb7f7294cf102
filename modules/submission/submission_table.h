#pragma once

#include <base/base.h>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <submission/answer.h>
#include <submission/id_issuer.h>
#include <submission/key_index.h>
#include <submission/submission_id.h>
#include <utility>
#include <vector>

namespace chivewharf::submission {

/// Identifies a request that waits for an answer. Chosen by the user of the table, which does not
/// interpret it.
using waiter = std::uint64_t;

/// Slot number of a submission with an issued id, since only caller-chosen ids have ownership
/// slots.
inline constexpr std::uint8_t no_slot = 255;

/// Limits and retention times of the table.
struct table_options {
    duration answer_retention = seconds{60};
    duration id_lifetime = seconds{300};                   ///< starts with the final answer
    std::size_t max_entries = 1'000'000;                   ///< submissions and tombstones
    std::size_t max_bytes = std::size_t{48} * 1024 * 1024; ///< submissions in flight or answered
    /// Part of `max_bytes` reserved for answers, so that admitted work can still be answered when
    /// new submissions are refused.
    std::size_t answer_reserve = std::size_t{8} * 1024 * 1024;
};

/// One task of a submission.
struct task_request {
    std::string kind;
    duration declared{}; ///< run time declared by the caller
    std::string payload;
};

/// A submission as passed to `submission_table::admit`.
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

/// What the table did with a received submission.
enum class receipt : std::uint8_t { unknown, admitted, joined, answered };

/// Result of `find`, `fetch` and `admit`. `reply` is set if `kind` is `answered`, which includes
/// refusals.
struct reception {
    receipt kind = receipt::unknown;
    answer_ptr reply;
};

/// Reason why a task must not be sent.
enum class start_refusal : std::uint8_t { unknown, ended, not_queued, deadline_passed };

/// Outcome of one attempt to run a task.
enum class attempt_end : std::uint8_t {
    done,    ///< the complete answer arrived
    failed,  ///< the task ran, but its result is unusable
    not_run, ///< the task certainly did not start
    lost,    ///< no complete answer arrived; the task may have run
};

/// Result of one attempt, passed to `finish_task`.
struct attempt_result {
    attempt_end end = attempt_end::lost;
    reason why = reason::none; ///< for `failed`, `not_run` and `lost`
    std::string payload;       ///< for `done`
    std::string message;       ///< for `failed` and `lost`
};

/// What the user of the table must do after an event of a submission.
struct consequence {
    bool matched = false;        ///< false: the event was ignored as unknown, late or duplicate
    bool queued_again = false;   ///< the task may be sent again if the retry budget allows it
    answer_ptr reply;            ///< final answer, set only by the event that produced it
    std::vector<waiter> waiters; ///< requests to answer with `reply`
    std::vector<std::uint32_t> dropped_tasks; ///< queued tasks that will not be sent
    std::vector<std::uint32_t> abort_tasks;   ///< sent tasks whose connection must be closed
};

/// A submission whose deadline passed.
struct expired_submission {
    submission_key key;
    consequence effect;
};

/// Remainder of a submission without request and answer, which serves only to recognise a
/// resubmission. This is what is handed over to the new owner of a slot.
struct tombstone {
    submission_key key;
    body_digest digest{};
    reason why = reason::none;
    work_state work = work_state::may_have_run;
    std::uint8_t slot = no_slot;
};

/// Counts of task results that the table ignored.
struct table_counters {
    std::uint64_t late_results = 0;       ///< the submission or the task had already ended
    std::uint64_t mismatched_results = 0; ///< for an attempt other than the current one
    std::uint64_t unknown_results = 0;    ///< for an unknown submission or task
};

/// The submissions of one entry host, keyed by customer and id.
///
/// A submission is in flight (its tasks are queued or sent) until it has its final answer, which
/// never changes. The answer is kept for `answer_retention`; after that only a tombstone of less
/// than 100 bytes remains, which recognises the id until `id_lifetime` has passed since the answer.
class submission_table {
public:
    explicit submission_table(table_options options = {});
    ~submission_table();
    submission_table(submission_table&&) noexcept;
    submission_table& operator=(submission_table&&) noexcept;

    /// Handles a resubmission: adds the waiter to the submission in flight or returns its stored
    /// answer. A known id with another digest is refused with `id_body_mismatch` and the work state
    /// `not_run`, which refers to the body just received. A tombstone is refused with `id_expired`
    /// and the recorded work state.
    /// \return kind `unknown` if the id is not in the table
    reception find(const submission_key& key, const body_digest& digest, std::optional<waiter> who);

    /// Like `find`, for a request for the answer only, which has no body to compare.
    reception fetch(const submission_key& key, std::optional<waiter> who);

    /// Admits the submission if its id is not in the table, otherwise does the same as `find`.
    /// Refuses with `malformed_request` (no tasks), `table_full` or `deadline_passed`, each with
    /// the work state `not_run`. Call it only for an id that this incarnation is entitled to start:
    /// these refusals state that no other process has started the work.
    reception admit(submission_request request, std::optional<waiter> who, time_point now);

    /// Removes a waiter whose connection was closed.
    void remove_waiter(const submission_key& key, waiter who);

    /// Checks that a queued task may be sent and marks it as sent.
    /// \return number of the attempt, starting at 1
    result<std::uint32_t, start_refusal> may_start(const submission_key& key, std::uint32_t task,
                                                   time_point now);

    /// Processes the result of an attempt. Late and duplicate results and those of another attempt
    /// are counted and ignored. The task is queued again if it certainly did not run, or if its
    /// result was lost and it is the only task of a submission to an idempotent service.
    consequence finish_task(const submission_key& key, std::uint32_t task, std::uint32_t attempt,
                            attempt_result result, time_point now);

    /// Cancels the submission. Takes time proportional to the number of queued tasks, apart from
    /// freeing bodies and results. For an idempotent service it also scans all tasks for those to
    /// abort.
    /// \return `matched` is false if the submission is unknown or already has its answer, which
    /// `fetch` returns
    consequence cancel(const submission_key& key, time_point now);

    /// Fails a submission that has no final answer yet, for example with `retry_budget_spent`,
    /// `no_upstream` or `customer_removed`.
    consequence fail(const submission_key& key, reason why, std::string message, time_point now);

    /// Fails submissions whose deadline passed, and drops answers and tombstones that are due; at
    /// most `max_steps` of these in all.
    std::vector<expired_submission> tick(time_point now, std::size_t max_steps = 1000);

    /// Earliest time at which `tick` has something to do; none if the table is empty.
    std::optional<time_point> next_due() const;

    /// Returns the request of a submission that is in flight or has its answer stored; null if the
    /// id is unknown or only a tombstone. The payload of a task that is done is empty, and `tasks`
    /// is empty once the submission has its answer. The pointer is valid until the table changes.
    const submission_request* request(const submission_key& key) const;

    /// True if the id is in the table in any state, including as a tombstone.
    bool holds(const submission_key& key) const { return lookup(key).has_value(); }

    /// Returns tombstones of all submissions of a slot. Scans the whole table, so it is used only
    /// at a planned stop.
    std::vector<tombstone> export_slot(std::uint8_t slot) const;

    /// Stores a tombstone from the previous owner for a full id lifetime, which is longer than the
    /// previous owner would have kept it. Does nothing if the id is in the table.
    /// \return false if the table is full; the hand-over then counts as one without records, so the
    /// slot is quarantined for a full id lifetime
    bool import(const tombstone& from, time_point now);

    std::size_t size() const noexcept { return index_.size(); }

    /// Bytes that count towards `max_bytes`: bodies, answers and the state of the submissions that
    /// are in flight or have their answer stored, about 0.5 KB for a submission with one task.
    std::size_t payload_bytes() const noexcept { return payload_bytes_; }

    /// Bytes allocated for the records and the index, without bodies and answers.
    std::size_t held_bytes() const noexcept;

    const table_counters& counters() const noexcept { return counters_; }

private:
    enum class task_state : std::uint8_t { queued, sent, ended };
    struct task_slot;
    struct live_submission;
    struct record;

    /// Queue of records, linked in the order in which they are due.
    struct fifo {
        std::uint32_t head = none;
        std::uint32_t tail = none;
    };

    static constexpr std::uint32_t none = 0xffffffffU;
    static constexpr std::uint32_t chunk_records = 1024;

    static bool matches(const void* self, std::uint32_t number, const submission_key& key);
    std::optional<std::uint32_t> lookup(const submission_key& key) const;
    record& at(std::uint32_t number) const;
    std::uint32_t allocate_record();
    void release_record(std::uint32_t number);
    void push(fifo& queue, std::uint32_t number);
    void pop(fifo& queue);
    reception join_or_answer(record& entry, std::optional<waiter> who);
    consequence set_final_answer(std::uint32_t number, outcome result, reason why,
                                 std::string message, time_point now);
    consequence finish_attempt(std::uint32_t number, std::uint32_t task, attempt_result result,
                               time_point now);
    consequence finish_done(std::uint32_t number, std::uint32_t task, attempt_result result,
                            time_point now);
    consequence finish_not_run(std::uint32_t number, std::uint32_t task, time_point now);
    consequence finish_lost(std::uint32_t number, std::uint32_t task, attempt_result result,
                            time_point now);
    void make_tombstone(std::uint32_t number);
    bool expire_next(time_point now, std::vector<expired_submission>& expired);

    table_options options_;
    key_index index_;
    std::vector<std::unique_ptr<record[]>> chunks_;
    std::uint32_t used_records_ = 0;
    std::uint32_t free_head_ = none;
    std::set<std::pair<time_point, std::uint32_t>> deadlines_;
    fifo answered_;
    fifo tombstones_;
    std::size_t payload_bytes_ = 0;
    table_counters counters_;
};

} // namespace chivewharf::submission

template <>
struct chivewharf::enum_names<chivewharf::submission::start_refusal> {
    static constexpr std::array<std::string_view, 4> names{"unknown", "ended", "not_queued",
                                                           "deadline_passed"};
};
