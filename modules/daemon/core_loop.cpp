#include <daemon/core_loop.h>

#include <dispatch/overloaded.h>

namespace chivewharf::daemon {

namespace {

/// Upper bound on how late deadlines, back-offs and waits are noticed. A tick costs a few
/// microseconds.
constexpr duration tick_interval = milliseconds{10};

} // namespace

void core_loop::start_ticks()
{
    ticks_.every(tick_interval,
                 [this] { event([](auto& core, const auto& at) { core.tick(at); }); });
}

dispatch::clock_reading core_loop::now()
{
    return {boot_clock::now(), wall_now_ms()};
}

void core_loop::execute_actions()
{
    // An event that arrives while an action is executed leaves its own actions to the loop below.
    if (executing_actions_)
        return;
    executing_actions_ = true;
    const dispatch::overloaded execute{
        [this](dispatch::answer_caller& action) { handlers_.answer(std::move(action)); },
        [this](dispatch::send_task& action) { handlers_.send_task(std::move(action)); },
        [this](dispatch::abort_call& action) { handlers_.abort(action); },
        [this](dispatch::send_peer& action) { handlers_.send_peer(std::move(action)); },
        [this](dispatch::drop_link& action) { handlers_.drop_link(action); },
        [this](dispatch::append_record& action) { handlers_.append(std::move(action)); },
    };
    for (auto actions = core_.take_actions(); !actions.empty(); actions = core_.take_actions()) {
        for (auto& action : actions)
            std::visit(execute, action);
    }
    executing_actions_ = false;
}

} // namespace chivewharf::daemon
