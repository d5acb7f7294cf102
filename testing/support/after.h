#pragma once

#include <base/time.h>
#include <functional>
#include <memory>
#include <runtime/timer.h>
#include <utility>

namespace chivewharf::testing_support {

/// Calls the function once after the delay, from the main loop. It cannot be cancelled.
inline void after(duration delay, std::function<void()> call)
{
    const auto timer = std::make_shared<runtime::timer>();
    timer->once(delay, [timer, call = std::move(call)] { call(); });
}

} // namespace chivewharf::testing_support
