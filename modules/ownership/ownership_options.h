#pragma once

#include <base/time.h>
#include <chrono>
#include <cstddef>

namespace chivewharf::ownership {

/// Ownership slots of a domain.
inline constexpr unsigned slot_count = 64;

/// Times and bounds of slot ownership. The defaults are those of the design page; they must be the
/// same on all hosts of a domain.
struct ownership_options {
    duration lease = seconds{45};          ///< from before the append of the claim or renewal
    duration renew_interval = seconds{15}; ///< between renewals
    duration renew_retry = seconds{3};     ///< after an append that failed or whose answer is lost
    double clock_drift = 0.01;             ///< largest relative difference of two boot clocks
    duration claim_margin = milliseconds{500}; ///< added to lease and drift before a claim
    duration id_lifetime = seconds{300};       ///< quarantine after a claim without handover
    duration promise_hold = seconds{10};       ///< for which a seat promises not to claim
    duration promise_interval = seconds{3};    ///< between requests for promises
    /// Age of the lease at which promises are asked for: one renewal was missed, and 25 s remain to
    /// collect them.
    duration promise_after = seconds{20};
    duration max_log_silence = std::chrono::minutes{75}; ///< longest time on promises alone
    duration new_seat_wait = std::chrono::minutes{90};   ///< before a new seat may claim
    /// Time after which an append without an answer is taken as not written, if a later read to the
    /// end of the log does not show it. A call to the platform has a deadline of 1 s.
    duration append_settle = seconds{10};
    /// Oldest log read on which a claim may rest.
    duration claim_view_age = seconds{2};
    /// Delay of a claim for each live host that the slot prefers, so that hosts do not race.
    duration claim_stagger = seconds{2};
    std::size_t max_claim_rank = 5;       ///< bounds the stagger
    std::size_t max_claims_in_flight = 4; ///< keeps the appends of a starting domain low
};

} // namespace chivewharf::ownership
