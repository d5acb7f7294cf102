#pragma once

#include <base/time.h>
#include <cstdint>
#include <fleet/outstanding_runs.h>
#include <fleet/ports.h>
#include <fleet/types.h>
#include <fleet/worker_clock.h>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chivewharf::fleet {

class worker_session;

/// A run of a task that is, or may be, on a worker, as tracked by the owner.
struct tracked_task {
    std::string task;
    std::uint32_t run = 1;
    resources demand;
    time_point ordered_at{};
    std::int64_t expires_at_ms = 0; ///< of the start order, by the worker's clock
    std::int64_t incarnation = 0;   ///< of the worker when the start was ordered
    time_point accepted_at{};       ///< zero until the start is known to have been carried out
    time_point stop_accepted_at{};  ///< zero until a stop was accepted
    time_point stop_sent_at{};
    bool stop_ordered = false;
    bool unanswered = false; ///< no reply: the start may have been or may still be carried out
    int percent = 0;         ///< progress that the worker reported
    time_point percent_at{}; ///< when `percent` was received
    time_point percent_risen_at{}; ///< when a rise of `percent` was received; zero if never
};

/// Receives the events of a session. Its functions are called from within the session's own
/// functions.
class session_observer {
public:
    session_observer() = default;
    session_observer(const session_observer&) = delete;
    session_observer& operator=(const session_observer&) = delete;
    virtual ~session_observer() = default;

    /// A run has ended, and its resources are free.
    virtual void task_ended(worker_session& worker, const tracked_task& task, task_end end,
                            const std::string& saved, time_point now) = 0;
    /// A start was not carried out and never will be.
    virtual void start_rejected(worker_session& worker, const tracked_task& task,
                                order_outcome reason, time_point now) = 0;
    /// The worker refused the token, because another owner has a higher one.
    virtual void fenced(worker_session& worker, time_point now) = 0;
    /// Free resources or reachability may have changed.
    virtual void availability_changed(time_point now) = 0;
};

/// State of one worker at its owner: fencing token, lease, running tasks and free resources. Every
/// task that may run occupies resources, including starts without a reply and tasks that are being
/// stopped. The object keeps itself alive until the reply to its last order has arrived.
class worker_session : public std::enable_shared_from_this<worker_session> {
public:
    /// Lease that starts and renewals grant. A task ends after at most this time unless the lease
    /// is renewed.
    static constexpr duration lease = milliseconds{900};

    /// Time after its last reply for which an idle worker counts as the same incarnation. No poll
    /// is in flight to an idle worker, so its restart breaks no connection.
    static constexpr duration max_unconfirmed = milliseconds{100};

    /// Maximum lease that any owner can have granted, by the worker's clock.
    static constexpr duration max_lease = milliseconds{1000};

    /// \param runs of the shard; the session keeps those that may be on its worker
    worker_session(worker_entry entry, worker_port& port, session_observer& observer,
                   outstanding_runs& runs);

    const worker_entry& entry() const noexcept { return entry_; }

    /// Replaces the entry by the newest one from the store.
    void update(const worker_entry& entry, time_point now);

    /// Acquires the worker under the fencing token: asks which tasks run there, and stops those
    /// that this session does not know.
    void acquire(std::uint64_t token, time_point now);

    /// Closes the session: it sends no further orders, no longer calls the observer, and removes
    /// its runs.
    void close();

    /// True if tasks may be started: the worker is owned, answers, is not leaving, runs no tasks of
    /// an earlier owner, and its entry is that of the incarnation which answers.
    bool usable() const noexcept;

    /// True if no task that an earlier owner started can still run on the worker.
    bool takeover_complete() const noexcept;

    /// True if no run may be on the worker, neither of this owner nor of an earlier one.
    bool idle() const noexcept { return tasks_.empty() && inherited_runs_.empty(); }

    bool owned() const noexcept { return phase_ == phase::owned; }
    bool answering() const noexcept { return misses_ == 0; }

    /// Resources that no task occupies.
    resources free() const noexcept;

    const std::map<std::string, tracked_task>& tasks() const noexcept { return tasks_; }

    /// Orders a start. Call it only if the worker is `usable` and has enough free resources, and if
    /// no run of the task is outstanding. If an idle worker has not answered for `max_unconfirmed`,
    /// it is asked first whether it is still the same incarnation, and the order is sent once it
    /// has confirmed that.
    void start(const std::string& task, std::uint32_t run, const resources& demand,
               const std::string& payload, const std::string& saved, time_point now);

    /// Orders a task to stop. Its resources stay occupied until the worker reports its end.
    void stop(const std::string& task, time_point now);

    /// Sends the status polls, lease renewals and repeated stops that are due. Ends tasks whose
    /// lease has certainly expired.
    void tick(time_point now);

private:
    enum class phase : std::uint8_t { unowned, acquiring, owned, fenced };

    /// A start that waits for the worker's confirmation.
    struct held_start {
        std::string task;
        std::uint32_t run = 0;
        std::string payload;
        std::string saved;
    };

    /// False if the entry belongs to another incarnation: its capacity and labels may be others.
    bool entry_is_current() const noexcept
    {
        return entry_.incarnation == 0 || entry_.incarnation == incarnation_;
    }
    worker_address address() const { return {entry_.id, entry_.address}; }
    std::int64_t expiry(time_point now);
    bool poll_due(time_point now) const noexcept;
    void poll(time_point now);
    void send_poll(time_point now, duration wait);
    void on_status_reply(const status_reply& reply, time_point sent);
    void process_ended(const status_reply& reply);
    void process_running(const status_reply& reply, time_point sent);
    void send_start(const held_start& start, tracked_task& tracked);
    void release_held_starts(time_point now);
    void reject_held_starts(order_outcome reason, time_point now);
    void on_start_reply(const std::string& task, std::uint32_t run, const order_reply& reply);
    void on_stop_reply(const std::string& task, std::uint32_t run, const order_reply& reply);
    void send_stop(tracked_task& task, time_point now);
    void stop_inherited_run(const std::string& task, std::uint32_t run, time_point now);
    void set_inherited_runs(std::map<std::string, std::uint32_t> inherited);
    /// Frees the resources of a run that is not on the worker any more.
    tracked_task remove_task(std::map<std::string, tracked_task>::iterator where);
    void reject_start(std::map<std::string, tracked_task>::iterator where, order_outcome reason,
                      time_point now);
    void end_task(std::map<std::string, tracked_task>::iterator where, task_end reason,
                  const std::string& saved, time_point now);
    void end_all_tasks(task_end reason, time_point now);
    void record_miss(time_point now);
    void on_fenced(time_point now);

    worker_entry entry_;
    worker_port& port_;
    session_observer& observer_;
    outstanding_runs& runs_;
    worker_clock clock_;
    std::map<std::string, tracked_task> tasks_;
    std::vector<held_start> held_starts_;
    std::map<std::string, std::uint32_t> inherited_runs_; ///< runs of an earlier owner, by task
    resources used_;
    std::uint64_t token_ = 0;
    std::uint64_t acknowledged_end_ = 0;
    std::int64_t incarnation_ = 0;
    std::int64_t last_expiry_ms_ = 0; ///< latest expiry of any order
    time_point last_reply_at_{};
    time_point next_poll_{};
    time_point inherited_stop_sent_at_{};
    std::uint64_t polls_sent_ = 0;
    std::uint64_t regular_poll_ = 0; ///< number of the poll in flight sent by `poll`; 0 if none
    int misses_ = 0;
    phase phase_ = phase::unowned;
    bool poll_in_flight_ = false;
    bool closed_ = false;
};

} // namespace chivewharf::fleet
