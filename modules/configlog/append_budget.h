#pragma once

#include <base/time.h>
#include <cstdint>

namespace chivewharf::configlog {

/// Limits the log appends of this host to its share of the rate of the whole system. It is a token
/// bucket that is refilled at the total rate divided by the number of live entry hosts. Over t
/// seconds, n hosts append at most rate * t + n * burst records in total.
class append_budget {
public:
    /// Capacity of the bucket: a lease renewal and one other record.
    static constexpr double burst = 2;

    /// \param rate appends per second of the whole system (30 at the design size)
    append_budget(double rate, time_point start) : rate_(rate), filled_at_(start) {}

    /// Takes a token for one append.
    /// \param live_hosts number of live entry hosts in all domains, including this one
    /// \return false if no token is available, so that this host must wait
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
