#pragma once

#include <base/time.h>
#include <cstdint>
#include <functional>
#include <glib.h>

namespace chivewharf::runtime {

/// A timer of the default main context. Destroying it cancels it. All timers share one source of
/// the loop, because each iteration of the loop visits every source.
class timer {
public:
    timer() = default;
    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;
    timer(timer&&) = delete;
    timer& operator=(timer&&) = delete;
    ~timer() { cancel(); }

    /// Calls the function once after the delay. Replaces an earlier schedule of this timer.
    void once(duration delay, std::function<void()> callback);

    /// Calls the function periodically, for the first time after one interval. Replaces an earlier
    /// schedule of this timer. Calls missed while the loop was late are skipped.
    void every(duration interval, std::function<void()> callback);

    void cancel() noexcept;
    bool active() const noexcept { return active_; }

private:
    friend class timer_queue;

    void arm(duration delay);
    void fire(gint64 now);

    std::function<void()> callback_;
    gint64 due_us_ = 0;          ///< g_get_monotonic_time() at which it fires
    std::uint64_t sequence_ = 0; ///< order of arming, to order timers with the same due time
    gint64 interval_us_ = 0;     ///< 0 if the timer fires once
    bool active_ = false;
};

} // namespace chivewharf::runtime
