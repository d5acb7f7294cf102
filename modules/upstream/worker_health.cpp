#include <upstream/worker_health.h>

#include <algorithm>

namespace chivewharf::upstream {

void worker_health::push(bool failed) noexcept
{
    failed_ <<= 1U;
    failed_[0] = failed;
    seen_ = std::min(seen_ + 1, window);
}

void worker_health::record_ok(time_point now, std::uint32_t slots, const pool_options& options)
{
    if (state_ == worker_state::ejected)
        return; // started before the ejection
    push(false);
    in_a_row_ = 0;
    silent_in_a_row_ = 0;
    if (state_ == worker_state::suspect)
        state_ = worker_state::usable;
    if (state_ != worker_state::probing)
        return;
    ++probe_successes_;
    restored_ = probe_successes_ / options.successes_per_slot;
    if (1 + restored_ >= slots) {
        state_ = worker_state::usable;
        restored_at_ = now;
    }
}

void worker_health::record_failure(bool silent, const pool_options& options)
{
    if (state_ == worker_state::ejected)
        return;
    push(true);
    ++in_a_row_;
    silent_in_a_row_ = silent ? silent_in_a_row_ + 1 : 0;
    if (silent_in_a_row_ >= options.suspect_after_silent && state_ == worker_state::usable)
        state_ = worker_state::suspect;
}

bool worker_health::must_eject(double pool_share, const pool_options& options) const
{
    if (state_ == worker_state::ejected || in_a_row_ == 0)
        return false;
    if (in_a_row_ >= options.eject_after_failures)
        return true;
    if (state_ == worker_state::probing && probe_successes_ == 0)
        return true;
    if (seen_ < options.eject_min_tasks)
        return false;
    const double share = static_cast<double>(failures()) / seen_;
    return share >= options.eject_failure_share && share >= options.eject_pool_ratio * pool_share;
}

void worker_health::eject(time_point now, const pool_options& options)
{
    if (state_ != worker_state::probing && now - restored_at_ >= options.eject_longest)
        ejections_ = 0;
    auto length = options.eject_first;
    for (std::uint32_t i = 0; i < ejections_ && length < options.eject_longest; ++i)
        length *= 2;
    eject_until_ = now + std::min(length, options.eject_longest);
    ++ejections_;
    state_ = worker_state::ejected;
    failed_.reset();
    seen_ = 0;
    in_a_row_ = 0;
    silent_in_a_row_ = 0;
}

void worker_health::begin_probe() noexcept
{
    state_ = worker_state::probing;
    probe_successes_ = 0;
    restored_ = 0;
}

void worker_health::readmit() noexcept
{
    state_ = worker_state::usable;
    in_a_row_ = 1;
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
    if (state_ == worker_state::suspect || (limit_after_failure && in_a_row_ > 0))
        return std::min(slots, 1U);
    return state_ == worker_state::probing ? std::min(slots, 1 + restored_) : slots;
}

} // namespace chivewharf::upstream
