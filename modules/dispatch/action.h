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

/// Number of one send of a task to a worker, unique in the process.
using call_id = std::uint64_t;

/// Answer a caller's request.
struct answer_caller {
    submission::waiter waiter = 0;
    caller_answer answer;
};

/// Send a task to a runner. `entry_host::confirm_start` must be asked right before the first byte
/// is written, and `entry_host::task_ended` called exactly once.
struct send_task {
    call_id call = 0;
    std::string worker;
    std::string address; ///< `IP:PORT`
    std::string task;    ///< `ID/INDEX`
    std::uint32_t attempt = 1;
    duration remaining{}; ///< until the deadline
    wall_ms start_by = 0; ///< after this the runner must refuse the start
    std::string kind;
    std::string customer;
    std::string payload;
};

/// Close the connection of a call; its end is still reported.
struct abort_call {
    call_id call = 0;
};

/// Send a message to another entry host. It is dropped if there is no link.
struct send_peer {
    std::string host;
    wire::message message;
};

/// Close the link to a host that may have gone silent; the next message opens a new one.
struct drop_link {
    std::string host;
};

/// Append a record to a stream of the platform's log.
struct append_record {
    std::string stream;
    std::string record_id;
    std::string text;
};

/// What the shell must do after an event.
using action =
    std::variant<answer_caller, send_task, abort_call, send_peer, drop_link, append_record>;

/// Collects actions in the order in which they were decided.
class action_list {
public:
    template <class T>
    void add(T one)
    {
        actions_.emplace_back(std::move(one));
    }

    /// Gives the actions away and is empty afterwards.
    std::vector<action> take() { return std::exchange(actions_, {}); }

    bool empty() const noexcept { return actions_.empty(); }

private:
    std::vector<action> actions_;
};

/// The two clocks, read together by the shell.
struct clock_reading {
    time_point boot;
    wall_ms wall = 0;
};

} // namespace chivewharf::dispatch
