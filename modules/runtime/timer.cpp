#include <runtime/timer.h>

#include <algorithm>
#include <limits>
#include <set>
#include <tuple>
#include <utility>

namespace chivewharf::runtime {

namespace {

constexpr gint64 us_per_ms = 1000;

gint64 rounded_up_us(duration d)
{
    const auto us = std::chrono::ceil<std::chrono::microseconds>(d).count();
    return std::max<gint64>(us, 0);
}

} // namespace

/// All armed timers, ordered by due time and fired by one source of the default main context.
class timer_queue {
public:
    static timer_queue& instance()
    {
        // Never destroyed, because static objects may own timers that are destroyed later.
        static auto* queue = new timer_queue;
        return *queue;
    }

    timer_queue(const timer_queue&) = delete;
    timer_queue& operator=(const timer_queue&) = delete;

    std::uint64_t add(timer& added, gint64 due_us)
    {
        armed_.insert({due_us, ++last_sequence_, &added});
        return last_sequence_;
    }

    void remove(timer& removed) { armed_.erase({removed.due_us_, removed.sequence_, &removed}); }

private:
    struct queue_source {
        GSource base;
        timer_queue* queue;
    };
    using entry = std::tuple<gint64, std::uint64_t, timer*>;

    timer_queue()
    {
        static GSourceFuncs functions{&timer_queue::prepare,
                                      &timer_queue::check,
                                      &timer_queue::dispatch,
                                      nullptr,
                                      nullptr,
                                      nullptr};
        auto* source = g_source_new(&functions, sizeof(queue_source));
        reinterpret_cast<queue_source*>(source)->queue = this;
        g_source_attach(source, nullptr);
        g_source_unref(source);
    }
    ~timer_queue() = default;

    static timer_queue& of(GSource* source)
    {
        return *reinterpret_cast<queue_source*>(source)->queue;
    }

    bool has_due(gint64 now) const
    {
        return !armed_.empty() && std::get<0>(*armed_.begin()) <= now;
    }

    static gboolean prepare(GSource* source, gint* timeout_ms)
    {
        const auto& queue = of(source);
        *timeout_ms = -1;
        if (queue.armed_.empty())
            return FALSE;
        const auto now = g_source_get_time(source);
        if (queue.has_due(now))
            return TRUE;
        const auto left = std::get<0>(*queue.armed_.begin()) - now;
        *timeout_ms = static_cast<gint>(
            std::min<gint64>((left + us_per_ms - 1) / us_per_ms, std::numeric_limits<gint>::max()));
        return FALSE;
    }

    static gboolean check(GSource* source)
    {
        return of(source).has_due(g_source_get_time(source)) ? TRUE : FALSE;
    }

    static gboolean dispatch(GSource* source, GSourceFunc /*call*/, gpointer /*data*/)
    {
        of(source).fire_due(g_source_get_time(source));
        return G_SOURCE_CONTINUE;
    }

    void fire_due(gint64 now)
    {
        // Timers armed by a callback fire no earlier than the next iteration of the loop.
        const auto last_sequence = last_sequence_;
        for (auto it = armed_.begin(); it != armed_.end() && std::get<0>(*it) <= now;) {
            if (std::get<1>(*it) > last_sequence) {
                ++it;
                continue;
            }
            auto* next = std::get<2>(*it);
            armed_.erase(it);
            next->fire(now);
            it = armed_.begin();
        }
    }

    std::set<entry> armed_;
    std::uint64_t last_sequence_ = 0;
};

void timer::arm(duration delay)
{
    due_us_ = g_get_monotonic_time() + rounded_up_us(delay);
    sequence_ = timer_queue::instance().add(*this, due_us_);
    active_ = true;
}

void timer::once(duration delay, std::function<void()> callback)
{
    cancel();
    callback_ = std::move(callback);
    interval_us_ = 0;
    arm(delay);
}

void timer::every(duration interval, std::function<void()> callback)
{
    cancel();
    callback_ = std::move(callback);
    interval_us_ = std::max<gint64>(rounded_up_us(interval), 1);
    arm(interval);
}

void timer::cancel() noexcept
{
    if (!active_)
        return;
    active_ = false;
    timer_queue::instance().remove(*this);
}

void timer::fire(gint64 now)
{
    if (interval_us_ > 0) {
        // Skips calls that were missed while the loop was late.
        due_us_ = std::max(due_us_ + interval_us_, now + 1);
        sequence_ = timer_queue::instance().add(*this, due_us_);
    }
    else {
        active_ = false;
    }
    // The callback may destroy or rearm the timer, so no member is used after the call. The
    // callback of a one-shot timer is moved out, so that its captures are released when the call
    // returns.
    const auto callback = interval_us_ > 0 ? callback_ : std::exchange(callback_, nullptr);
    callback();
}

} // namespace chivewharf::runtime
