#pragma once

#include <base/time.h>
#include <bitset>
#include <cstdint>
#include <upstream/pool_options.h>
#include <upstream/worker.h>

namespace chivewharf::upstream {

/// Failure record of one worker: outlier ejection, probes and slow re-entry. The pool decides when
/// the ceiling permits an ejection.
class worker_health {
public:
    static constexpr std::uint32_t window = 10;

    /// One of usable, suspect, ejected, probing.
    worker_state state() const noexcept { return state_; }

    /// Records a success. Restores slots of a probed worker and clears a suspicion.
    /// \param slots slots of the worker
    void record_ok(time_point now, std::uint32_t slots, const pool_options& options);

    /// Records a failure.
    /// \param silent the connection gave no answer
    void record_failure(bool silent, const pool_options& options);

    /// True if the record calls for ejection.
    /// \param pool_share failure share over the windows of all workers of the service
    bool must_eject(double pool_share, const pool_options& options) const;

    /// Ejects the worker and empties the window. \see eject_until
    void eject(time_point now, const pool_options& options);

    /// Ends the ejection: the next task is a probe.
    void begin_probe() noexcept;

    /// Ends the ejection without a probe, when the ceiling has become smaller. The worker has one
    /// slot until it succeeds.
    void readmit() noexcept;

    time_point eject_until() const noexcept { return eject_until_; }

    /// True while the worker counts as ejected: until its first probe succeeded.
    bool counts_as_ejected() const noexcept;

    /// Tasks that the record permits at the same time.
    /// \param limit_after_failure a worker with a recent failure has one slot
    std::uint32_t slot_limit(std::uint32_t slots, bool limit_after_failure) const noexcept;

    std::uint32_t seen() const noexcept { return seen_; }
    std::uint32_t failures() const noexcept { return static_cast<std::uint32_t>(failed_.count()); }

private:
    void push(bool failed) noexcept;

    std::bitset<window> failed_;
    std::uint32_t seen_ = 0;
    std::uint32_t in_a_row_ = 0;
    std::uint32_t silent_in_a_row_ = 0;
    std::uint32_t probe_successes_ = 0;
    std::uint32_t restored_ = 0; // slots restored after the first one
    std::uint32_t ejections_ = 0;
    time_point eject_until_{};
    time_point restored_at_{};
    worker_state state_ = worker_state::usable;
};

} // namespace chivewharf::upstream
