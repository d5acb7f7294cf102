#include <upstream/choice_policy.h>

#include <algorithm>
#include <cmath>

namespace chivewharf::upstream {

namespace {

std::uint64_t scaled_load(const rank_input& worker)
{
    static constexpr std::uint64_t steps = 1024;
    const std::uint64_t slots = std::max(worker.slots, 1U);
    return std::min<std::uint64_t>(worker.running * steps / slots, 0x3fff);
}

worker_id random_free(const candidates& from, rng& random)
{
    return from.free[random() % from.free.size()];
}

} // namespace

std::optional<worker_id> choice_policy::pick(const candidates& from, rng& /*random*/) const
{
    return from.best;
}

std::uint64_t least_finish::rank(const rank_input& worker) const
{
    // The cost is quantised to sixteen steps per factor of two, so that workers within 4% tie.
    static constexpr double steps = 16;
    static constexpr double bias = 0x8000;
    const double step = std::clamp(std::log2(worker.cost) * steps + bias, 0.0, 65534.0);
    return (std::uint64_t{worker.straggler} << 62U) | (static_cast<std::uint64_t>(step) << 46U) |
           (scaled_load(worker) << 32U) | worker.last_used;
}

std::uint64_t least_outstanding::rank(const rank_input& worker) const
{
    return (std::uint64_t{worker.running} << 32U) | worker.last_used;
}

std::uint64_t random_worker::rank(const rank_input& /*worker*/) const
{
    return 0;
}

std::optional<worker_id> random_worker::pick(const candidates& from, rng& random) const
{
    if (from.free.empty())
        return std::nullopt;
    return random_free(from, random);
}

std::uint64_t two_random_choices::rank(const rank_input& /*worker*/) const
{
    return 0;
}

std::optional<worker_id> two_random_choices::pick(const candidates& from, rng& random) const
{
    if (from.free.empty())
        return std::nullopt;
    const auto a = random_free(from, random);
    const auto b = random_free(from, random);
    return from.running[b] < from.running[a] ? b : a;
}

} // namespace chivewharf::upstream
