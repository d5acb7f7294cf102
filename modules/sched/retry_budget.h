#pragma once

#include <base/rng.h>
#include <base/time.h>
#include <cstdint>

namespace chivewharf::sched {

/// Retry budget of one service. It limits retries to 10% of first attempts, so that an upstream
/// failure does not multiply the load on the upstreams.
class retry_budget {
public:
    static constexpr double tokens_per_first_try = 0.1;
    static constexpr double max_tokens = 100;
    /// Allows a few retries in a service that has just started and has made few first attempts.
    static constexpr double initial_tokens = 10;
    static constexpr duration min_backoff = milliseconds{10};
    static constexpr duration max_backoff = seconds{1};

    /// Counts a first attempt.
    void first_try() noexcept;

    /// Takes one retry from the budget.
    /// \return false if the budget is exhausted (`retry_budget_spent`)
    bool take() noexcept;

    double tokens() const noexcept { return tokens_; }

    /// Delay before a retry: exponential back-off with jitter. Uniformly distributed between half
    /// the step and the step, which starts at 20 ms and doubles up to 1 s.
    /// \param retry number of earlier retries of the task, from 0
    static duration backoff(std::uint32_t retry, rng& random);

private:
    double tokens_ = initial_tokens;
};

} // namespace chivewharf::sched
