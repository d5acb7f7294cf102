#pragma once

#include <base/time.h>
#include <functional>
#include <glib.h>

namespace chivewharf::runtime {

/// A timer of the default main context. Cancelled when it is destroyed.
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
    bool active() const noexcept { return source_ != 0; }

private:
    static gboolean fire(gpointer self);

    std::function<void()> call_;
    guint source_ = 0;
    bool repeat_ = false;
};

} // namespace chivewharf::runtime
