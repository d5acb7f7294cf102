#include <daemon/core_loop.h>

#include <dispatch/overloaded.h>

namespace chivewharf::daemon {

namespace {

/// Bounds the delay of deadlines, backoffs and waits; one tick costs a few microseconds.
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

void core_loop::carry_out()
{
    // An event that arrives while an action is carried out leaves its actions to the loop below.
    if (carrying_out_)
        return;
    carrying_out_ = true;
    const dispatch::overloaded handle{
        [this](dispatch::answer_caller& one) { handlers_.answer(std::move(one)); },
        [this](dispatch::send_task& one) { handlers_.send_task(std::move(one)); },
        [this](dispatch::abort_call& one) { handlers_.abort(one); },
        [this](dispatch::send_peer& one) { handlers_.send_peer(std::move(one)); },
        [this](dispatch::drop_link& one) { handlers_.drop_link(one); },
        [this](dispatch::append_record& one) { handlers_.append(std::move(one)); },
    };
    for (auto actions = core_.take_actions(); !actions.empty(); actions = core_.take_actions()) {
        for (auto& one : actions)
            std::visit(handle, one);
    }
    carrying_out_ = false;
}

} // namespace chivewharf::daemon
