#pragma once

#include <base/time.h>
#include <cstdint>

namespace chivewharf::configlog {

/// This host's part of the system's budget of log appends: a token bucket that fills with the total
/// rate divided by the live entry hosts. Over t seconds, n hosts append at most
/// rate * t + n * burst records in total.
class append_budget {
public:
    static constexpr double burst = 2; ///< appends at once: a renewal beside one other record

    /// \param rate appends a second of the whole system (30 at the design size)
    append_budget(double rate, time_point start) : rate_(rate), filled_at_(start) {}

    /// Takes one append. False if this host must wait.
    /// \param live_hosts live entry hosts in all domains, this one included
    bool take(time_point now, std::int64_t live_hosts);

    std::uint64_t taken() const noexcept { return taken_; }
    std::uint64_t refused() const noexcept { return refused_; }

private:
    double rate_;
    double tokens_ = burst;
    time_point filled_at_;
    std::uint64_t taken_ = 0;
    std::uint64_t refused_ = 0;
};

} // namespace chivewharf::configlog
