#pragma once

#include <base/rng.h>
#include <base/time.h>
#include <cstdint>

namespace chivewharf::sched {

/// Budget of retries of one service: retries are at most 10% of first tries, so that a fault of
/// the upstreams does not multiply the load on them.
class retry_budget {
public:
    static constexpr double tokens_per_first_try = 0.1;
    static constexpr double max_tokens = 100;
    /// A service that has just started can retry a few tasks before it has made many first tries.
    static constexpr double initial_tokens = 10;
    static constexpr duration least_backoff = milliseconds{10};
    static constexpr duration greatest_backoff = seconds{1};

    /// Counts a first try.
    void first_try() noexcept;

    /// Takes one retry from the budget. False means that the budget is spent
    /// (`retry_budget_spent`).
    bool take() noexcept;

    double tokens() const noexcept { return tokens_; }

    /// Wait before a retry: uniform between half of the step and the step; the step starts at
    /// 20 ms and doubles up to 1 s.
    /// \param retry number of earlier retries of the task, from 0
    static duration backoff(std::uint32_t retry, rng& random);

private:
    double tokens_ = initial_tokens;
};

} // namespace chivewharf::sched
