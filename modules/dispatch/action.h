#pragma once

#include <base/time.h>
#include <cstdint>
#include <dispatch/caller_answer.h>
#include <string>
#include <submission/submission_table.h>
#include <variant>
#include <vector>
#include <wire/messages.h>

namespace chivewharf::dispatch {

/// Identifies one send of a task to a worker; unique within the process.
using call_id = std::uint64_t;

/// Answers a caller's request.
struct answer_caller {
    submission::waiter waiter = 0;
    caller_answer answer;
};

/// Sends a task to a runner. The shell must call `entry_host::confirm_start` right before it writes
/// the first byte, and `entry_host::task_ended` exactly once.
struct send_task {
    call_id call = 0;
    std::string worker;
    std::string address; ///< `IP:PORT`
    std::string task;    ///< `ID/INDEX`
    std::uint32_t attempt = 1;
    duration remaining{}; ///< time left until the deadline
    wall_ms start_by = 0; ///< the runner must refuse to start the task after this time
    std::string kind;
    std::string customer;
    std::string payload;
};

/// Closes the connection of a call. `entry_host::task_ended` must still be called for it.
struct abort_call {
    call_id call = 0;
};

/// Sends a message to another entry host. The message is dropped if there is no link.
struct send_peer {
    std::string host;
    wire::message message;
};

/// Closes the link to a host that may have stopped responding; the next message opens a new one.
struct drop_link {
    std::string host;
};

/// Appends a record to a stream of the platform's log.
struct append_record {
    std::string stream;
    std::string record_id;
    std::string text;
};

/// An operation that the shell must perform after an event.
using action =
    std::variant<answer_caller, send_task, abort_call, send_peer, drop_link, append_record>;

/// Collects actions in the order in which they must be performed.
class action_list {
public:
    template <class T>
    void add(T new_action)
    {
        actions_.emplace_back(std::move(new_action));
    }

    /// Returns the collected actions and clears the list.
    std::vector<action> take() { return std::exchange(actions_, {}); }

    bool empty() const noexcept { return actions_.empty(); }

private:
    std::vector<action> actions_;
};

/// Readings of the monotonic (boot) and the wall clock, taken together by the shell.
struct clock_reading {
    time_point boot;
    wall_ms wall = 0;
};

} // namespace chivewharf::dispatch
