#include <runtime/timer.h>

#include <algorithm>

namespace chivewharf::runtime {

namespace {

guint rounded_up_ms(duration d)
{
    const auto ms = to_ms(d + milliseconds{1} - duration{1});
    return static_cast<guint>(std::max<std::int64_t>(ms, 0));
}

} // namespace

void timer::once(duration delay, std::function<void()> call)
{
    cancel();
    call_ = std::move(call);
    repeat_ = false;
    source_ = g_timeout_add(rounded_up_ms(delay), &timer::fire, this);
}

void timer::every(duration interval, std::function<void()> call)
{
    cancel();
    call_ = std::move(call);
    repeat_ = true;
    source_ = g_timeout_add(rounded_up_ms(interval), &timer::fire, this);
}

void timer::cancel() noexcept
{
    if (source_ == 0)
        return;
    g_source_remove(source_);
    source_ = 0;
}

gboolean timer::fire(gpointer self)
{
    auto* that = static_cast<timer*>(self);
    // The call may destroy or rearm the timer, so nothing of it is used afterwards.
    const auto call = that->call_;
    const bool repeat = that->repeat_;
    if (!repeat)
        that->source_ = 0;
    call();
    return repeat ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

} // namespace chivewharf::runtime
