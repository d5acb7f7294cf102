#include <upstream/worker_health.h>

#include <algorithm>

namespace chivewharf::upstream {

void worker_health::record(bool failed) noexcept
{
    failed_ <<= 1U;
    failed_[0] = failed;
    outcomes_ = std::min(outcomes_ + 1, window);
}

void worker_health::record_ok(time_point now, std::uint32_t slots, const pool_options& options)
{
    if (state_ == worker_state::ejected)
        return; // the task was started before the ejection
    record(false);
    consecutive_failures_ = 0;
    consecutive_silent_ = 0;
    if (state_ == worker_state::suspect)
        state_ = worker_state::usable;
    if (state_ != worker_state::probing)
        return;
    ++probe_successes_;
    restored_slots_ = probe_successes_ / options.successes_per_slot;
    if (1 + restored_slots_ >= slots) {
        state_ = worker_state::usable;
        fully_restored_at_ = now;
    }
}

void worker_health::record_failure(bool silent, const pool_options& options)
{
    if (state_ == worker_state::ejected)
        return;
    record(true);
    ++consecutive_failures_;
    consecutive_silent_ = silent ? consecutive_silent_ + 1 : 0;
    if (consecutive_silent_ >= options.suspect_after_silent && state_ == worker_state::usable)
        state_ = worker_state::suspect;
}

bool worker_health::should_eject(double pool_failure_share, const pool_options& options) const
{
    if (state_ == worker_state::ejected || consecutive_failures_ == 0)
        return false;
    if (consecutive_failures_ >= options.eject_after_failures)
        return true;
    if (state_ == worker_state::probing && probe_successes_ == 0)
        return true;
    if (outcomes_ < options.eject_min_tasks)
        return false;
    const double share = static_cast<double>(failures()) / outcomes_;
    return share >= options.eject_failure_share &&
           share >= options.eject_pool_ratio * pool_failure_share;
}

void worker_health::eject(time_point now, const pool_options& options)
{
    if (state_ != worker_state::probing && now - fully_restored_at_ >= options.eject_max)
        ejections_ = 0;
    auto length = options.eject_first;
    for (std::uint32_t i = 0; i < ejections_ && length < options.eject_max; ++i)
        length *= 2;
    eject_until_ = now + std::min(length, options.eject_max);
    ++ejections_;
    state_ = worker_state::ejected;
    failed_.reset();
    outcomes_ = 0;
    consecutive_failures_ = 0;
    consecutive_silent_ = 0;
}

void worker_health::begin_probe() noexcept
{
    state_ = worker_state::probing;
    probe_successes_ = 0;
    restored_slots_ = 0;
}

void worker_health::readmit() noexcept
{
    state_ = worker_state::usable;
    consecutive_failures_ = 1;
}

bool worker_health::counts_as_ejected() const noexcept
{
    return state_ == worker_state::ejected ||
           (state_ == worker_state::probing && probe_successes_ == 0);
}

std::uint32_t worker_health::slot_limit(std::uint32_t slots,
                                        bool limit_after_failure) const noexcept
{
    if (state_ == worker_state::ejected)
        return 0;
    if (state_ == worker_state::suspect || (limit_after_failure && consecutive_failures_ > 0))
        return std::min(slots, 1U);
    return state_ == worker_state::probing ? std::min(slots, 1 + restored_slots_) : slots;
}

} // namespace chivewharf::upstream
