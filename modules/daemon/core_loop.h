#pragma once

#include <dispatch/entry_host.h>
#include <functional>
#include <runtime/timer.h>
#include <utility>

namespace chivewharf::daemon {

/// What carries out the actions of the core, one function for each kind.
struct action_handlers {
    std::function<void(dispatch::answer_caller)> answer;
    std::function<void(dispatch::send_task)> send_task;
    std::function<void(const dispatch::abort_call&)> abort;
    std::function<void(dispatch::send_peer)> send_peer;
    std::function<void(const dispatch::drop_link&)> drop_link;
    std::function<void(dispatch::append_record)> append;
};

/// Feeds events with the time into the decision core and has its actions carried out, all on the
/// one loop. Ticks the core every 10 ms.
class core_loop {
public:
    explicit core_loop(dispatch::entry_host& core) : core_{core} {}

    void set_handlers(action_handlers handlers) { handlers_ = std::move(handlers); }

    /// Starts the regular ticks.
    void start_ticks();

    static dispatch::clock_reading now();

    /// Runs an event, `call(core, now)`, and then its actions.
    template <class Call>
    void event(Call call)
    {
        call(core_, now());
        carry_out();
    }

    /// For questions that are not events.
    dispatch::entry_host& core() noexcept { return core_; }

private:
    void carry_out();

    dispatch::entry_host& core_;
    action_handlers handlers_;
    runtime::timer ticks_;
    bool carrying_out_ = false;
};

} // namespace chivewharf::daemon
