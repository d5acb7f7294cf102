#pragma once

#include <base/time.h>
#include <cstdint>
#include <functional>
#include <glib.h>

namespace chivewharf::runtime {

/// A timer of the default main context. Cancelled when it is destroyed. All timers share one source
/// of the loop, because each pass of the loop visits every source.
class timer {
public:
    timer() = default;
    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;
    timer(timer&&) = delete;
    timer& operator=(timer&&) = delete;
    ~timer() { cancel(); }

    /// Calls the function once after the delay. Replaces what was scheduled before.
    void once(duration delay, std::function<void()> call);

    /// Calls the function again and again with the interval between calls.
    void every(duration interval, std::function<void()> call);

    void cancel() noexcept;
    bool active() const noexcept { return active_; }

private:
    friend class timer_queue;

    void arm(duration delay);
    void fire(gint64 now);

    std::function<void()> call_;
    gint64 due_ = 0;          ///< in the loop's clock, microseconds
    std::uint64_t order_ = 0; ///< of being armed
    gint64 interval_ = 0;     ///< microseconds; 0 fires once
    bool active_ = false;
};

} // namespace chivewharf::runtime
