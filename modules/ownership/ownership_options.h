#pragma once

#include <base/time.h>
#include <chrono>
#include <cstddef>

namespace chivewharf::ownership {

/// Number of ownership slots of a domain.
inline constexpr unsigned slot_count = 64;

/// Durations and limits of slot ownership. The defaults are those of the design documentation. All
/// hosts of a domain must use the same values.
struct ownership_options {
    /// Lease duration, counted from the clock reading before the claim or renewal is appended.
    duration lease = seconds{45};
    duration renew_interval = seconds{15}; ///< time between renewals
    /// Time to the next renewal after an append that failed or whose answer was lost.
    duration renew_retry = seconds{3};
    double clock_drift = 0.01; ///< max relative drift between the boot clocks of two hosts
    /// Safety margin added to the lease and the drift before a claim.
    duration claim_margin = milliseconds{500};
    duration id_lifetime = seconds{300};    ///< quarantine after a claim without handover
    duration promise_hold = seconds{10};    ///< how long a promise not to claim is binding
    duration promise_interval = seconds{3}; ///< time between promise requests
    /// Lease age from which promises are requested: one renewal was missed, and 25 s remain to
    /// collect the promises.
    duration promise_after = seconds{20};
    /// Max time since the last read to the end of the log during which promises prove ownership.
    duration max_log_silence = std::chrono::minutes{75};
    /// Time before a newly configured host may claim.
    duration new_host_wait = std::chrono::minutes{90};
    /// Time after which an append without an answer counts as not written, unless a later read to
    /// the end of the log returned it. A call to the platform has a deadline of 1 s.
    duration append_settle = seconds{10};
    /// Max age of the log read that a claim is based on.
    duration claim_view_age = seconds{2};
    /// Delay of a claim per live host that ranks higher for the slot, so that hosts do not race.
    duration claim_stagger = seconds{2};
    std::size_t max_claim_rank = 5;       ///< limits the delay by `claim_stagger`
    std::size_t max_claims_in_flight = 4; ///< limits the append rate when a domain starts
};

} // namespace chivewharf::ownership
