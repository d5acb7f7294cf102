#include <fleet/worker_clock.h>

namespace chivewharf::fleet {

namespace {

constexpr double mean_rate = (1.0 + worker_clock::min_rate) / 2;
constexpr double ns_per_ms = 1e6;

} // namespace

void worker_clock::observe(std::int64_t clock_ms, time_point received) noexcept
{
    if (reading_ms_ && (received < received_ || clock_ms < *reading_ms_))
        return;
    reading_ms_ = clock_ms;
    received_ = received;
}

std::int64_t worker_clock::estimate(time_point now) const noexcept
{
    const auto elapsed_ms = static_cast<double>((now - received_).count()) / ns_per_ms;
    return *reading_ms_ + static_cast<std::int64_t>(elapsed_ms * mean_rate);
}

time_point worker_clock::certainly_past(std::int64_t clock_ms) const noexcept
{
    const auto ahead_ms = static_cast<double>(clock_ms - *reading_ms_ + 1);
    return received_ + duration{static_cast<duration::rep>(ahead_ms / min_rate * ns_per_ms)};
}

} // namespace chivewharf::fleet
