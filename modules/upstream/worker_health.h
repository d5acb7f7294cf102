#pragma once

#include <base/time.h>
#include <bitset>
#include <cstdint>
#include <upstream/pool_options.h>
#include <upstream/worker.h>

namespace chivewharf::upstream {

/// Health of one worker: outlier ejection, probes after an ejection and the gradual return of its
/// slots. The pool decides whether the ejection ceiling permits an ejection.
class worker_health {
public:
    /// Number of recent outcomes that the failure share is computed over.
    static constexpr std::uint32_t window = 10;

    /// One of usable, suspect, ejected, probing.
    worker_state state() const noexcept { return state_; }

    /// Records a success. Restores slots of a probed worker and makes a suspect one usable again.
    /// \param slots number of slots of the worker
    void record_ok(time_point now, std::uint32_t slots, const pool_options& options);

    /// Records a failure.
    /// \param silent true if the connection gave no answer until the deadline
    void record_failure(bool silent, const pool_options& options);

    /// True if the recorded outcomes call for an ejection.
    /// \param pool_failure_share failure share over the windows of all workers of the service
    bool should_eject(double pool_failure_share, const pool_options& options) const;

    /// Ejects the worker until `eject_until` and clears the window.
    void eject(time_point now, const pool_options& options);

    /// Ends the ejection; the next task serves as a probe.
    void begin_probe() noexcept;

    /// Ends the ejection without a probe, because the pool now permits fewer ejections. The worker
    /// is limited to one slot until a task succeeds.
    void readmit() noexcept;

    time_point eject_until() const noexcept { return eject_until_; }

    /// True while the worker counts against the ejection ceiling: until its first probe succeeds.
    bool counts_as_ejected() const noexcept;

    /// Number of concurrent tasks that the health of the worker permits.
    /// \param limit_after_failure limits a worker whose last task failed to one slot
    std::uint32_t slot_limit(std::uint32_t slots, bool limit_after_failure) const noexcept;

    /// Outcomes in the window.
    std::uint32_t outcomes() const noexcept { return outcomes_; }
    /// Failures in the window.
    std::uint32_t failures() const noexcept { return static_cast<std::uint32_t>(failed_.count()); }

private:
    void record(bool failed) noexcept;

    std::bitset<window> failed_;
    std::uint32_t outcomes_ = 0;
    std::uint32_t consecutive_failures_ = 0;
    std::uint32_t consecutive_silent_ = 0;
    std::uint32_t probe_successes_ = 0;
    std::uint32_t restored_slots_ = 0; // slots restored in addition to the first
    std::uint32_t ejections_ = 0;
    time_point eject_until_{};
    time_point fully_restored_at_{};
    worker_state state_ = worker_state::usable;
};

} // namespace chivewharf::upstream
