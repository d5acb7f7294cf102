#pragma once

#include <base/time.h>
#include <cstdint>
#include <fleet/ports.h>
#include <fleet/types.h>
#include <fleet/worker_clock.h>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace chivewharf::fleet {

class worker_session;

/// A run of a task that is, or may be, on a worker.
struct held_task {
    std::string task;
    std::uint32_t run = 1;
    resources demand;
    time_point ordered{};
    std::int64_t expires_at_ms = 0; ///< of the start, on the worker's clock
    std::int64_t incarnation = 0;   ///< of the worker when the start was ordered
    time_point accepted{};          ///< zero until the start is known to be carried out
    time_point stop_accepted{};     ///< zero until a stop was accepted
    time_point stop_sent{};
    bool stopping = false;
    bool unanswered = false; ///< the start may have been carried out, or may be later
    int percent = 0;         ///< share of the work that is done
    time_point percent_at{}; ///< when the percent was read
};

/// Told by a session what happens on its worker. Called from within the session's own calls.
class session_observer {
public:
    session_observer() = default;
    session_observer(const session_observer&) = delete;
    session_observer& operator=(const session_observer&) = delete;
    virtual ~session_observer() = default;

    /// A run is over, and its room is free.
    virtual void task_ended(worker_session& worker, const held_task& task, task_end end,
                            const std::string& saved, time_point now) = 0;
    /// A start was not carried out and never will be.
    virtual void start_rejected(worker_session& worker, const held_task& task, order_outcome why,
                                time_point now) = 0;
    /// Another owner has a higher token.
    virtual void fenced(worker_session& worker, time_point now) = 0;
    /// Room or reachability may have changed.
    virtual void changed(time_point now) = 0;
};

/// One worker as its owner sees it: the fencing token, the lease, what runs there, and the room
/// that is left. Everything that may run counts against the room, also what was ordered without an
/// answer and what is being stopped. It keeps itself alive until its last call has ended.
class worker_session : public std::enable_shared_from_this<worker_session> {
public:
    /// Longest time for which a task runs on without a renewal.
    static constexpr duration lease = milliseconds{900};

    /// Longest lease that any owner can have given, by the worker's own clock.
    static constexpr duration longest_lease = milliseconds{1000};

    worker_session(worker_entry entry, worker_port& port, session_observer& observer);

    const worker_entry& entry() const noexcept { return entry_; }

    /// Takes the newest listed state.
    void update(const worker_entry& entry, time_point now);

    /// Becomes the owner under the token: looks what runs there, and stops what it does not know.
    void take(std::uint64_t token, time_point now);

    /// Ends the session: no further orders, and no further calls to the observer.
    void close() noexcept { closed_ = true; }

    /// True if tasks may be started: owned, answering, not leaving, and free of foreign tasks.
    bool usable() const noexcept;

    /// True if nothing that an earlier owner started can run any more.
    bool swept() const noexcept;

    bool owned() const noexcept { return phase_ == phase::owned; }
    bool answering() const noexcept { return misses_ == 0; }

    /// Room that nothing occupies.
    resources free() const noexcept;

    const std::map<std::string, held_task>& tasks() const noexcept { return tasks_; }

    /// Orders a start. The caller has checked `usable` and the room.
    void start(const std::string& task, std::uint32_t run, const resources& demand,
               const std::string& payload, const std::string& saved, time_point now);

    /// Orders the end of a task. Its room stays occupied until the worker lists the end.
    void stop(const std::string& task, time_point now);

    /// Sends what is due: looks, renewals, repeated stops. Ends tasks whose lease is over.
    void tick(time_point now);

private:
    enum class phase : std::uint8_t { unowned, taking, owned, fenced };

    worker_address address() const { return {entry_.id, entry_.address}; }
    std::int64_t expiry(time_point now);
    bool look_due(time_point now) const noexcept;
    void look(time_point now);
    void send_look(time_point now, duration wait);
    void look_answered(const status_reply& reply, time_point sent);
    void take_note_of_ends(const status_reply& reply);
    void take_note_of_running(const status_reply& reply, time_point sent);
    void start_answered(const std::string& task, std::uint32_t run, const order_reply& reply);
    void stop_answered(const std::string& task, std::uint32_t run, const order_reply& reply);
    void send_stop(held_task& task, time_point now);
    void send_foreign_stop(const std::string& task, std::uint32_t run, time_point now);
    void end(std::map<std::string, held_task>::iterator where, task_end how,
             const std::string& saved, time_point now);
    void end_all(task_end how, time_point now);
    void miss(time_point now);
    void lose_token(time_point now);

    worker_entry entry_;
    worker_port& port_;
    session_observer& observer_;
    worker_clock clock_;
    std::map<std::string, held_task> tasks_;
    std::map<std::string, std::uint32_t> foreign_; ///< runs of an earlier owner, by task
    resources used_;
    std::uint64_t token_ = 0;
    std::uint64_t seen_end_ = 0;
    std::int64_t incarnation_ = 0;
    std::int64_t last_expiry_ms_ = 0; ///< greatest expiry that was ever ordered
    time_point answered_at_{};
    time_point next_look_{};
    time_point foreign_stop_{};
    std::uint64_t looks_ = 0;     ///< sent so far
    std::uint64_t last_look_ = 0; ///< number of the regular look that is under way; 0 if none is
    int misses_ = 0;
    phase phase_ = phase::unowned;
    bool looking_ = false;
    bool closed_ = false;
};

} // namespace chivewharf::fleet
