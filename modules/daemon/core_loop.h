#pragma once

#include <dispatch/entry_host.h>
#include <functional>
#include <runtime/timer.h>
#include <utility>

namespace chivewharf::daemon {

/// Functions that execute the core's actions, one for each kind.
struct action_handlers {
    std::function<void(dispatch::answer_caller)> answer;
    std::function<void(dispatch::send_task)> send_task;
    std::function<void(const dispatch::abort_call&)> abort;
    std::function<void(dispatch::send_peer)> send_peer;
    std::function<void(const dispatch::drop_link&)> drop_link;
    std::function<void(dispatch::append_record)> append;
};

/// Passes events with their time to the decision core and executes the actions that the core
/// returns. All of it runs on the main loop's thread. Ticks the core every 10 ms.
class core_loop {
public:
    explicit core_loop(dispatch::entry_host& core) : core_{core} {}

    void set_handlers(action_handlers handlers) { handlers_ = std::move(handlers); }

    /// Starts the regular ticks.
    void start_ticks();

    static dispatch::clock_reading now();

    /// Handles one event: calls `call(core, now)`, then executes the resulting actions.
    template <class Call>
    void event(Call call)
    {
        call(core_, now());
        execute_actions();
    }

    /// The core, for queries that do not change its state.
    dispatch::entry_host& core() noexcept { return core_; }

private:
    void execute_actions();

    dispatch::entry_host& core_;
    action_handlers handlers_;
    runtime::timer ticks_;
    bool executing_actions_ = false;
};

} // namespace chivewharf::daemon
