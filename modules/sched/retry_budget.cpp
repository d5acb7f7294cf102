#include <sched/retry_budget.h>

#include <algorithm>

namespace chivewharf::sched {

void retry_budget::first_try() noexcept
{
    tokens_ = std::min(max_tokens, tokens_ + tokens_per_first_try);
}

bool retry_budget::take() noexcept
{
    if (tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

duration retry_budget::backoff(std::uint32_t retry, rng& random)
{
    constexpr std::uint32_t max_doublings = 7; // 20 ms doubled 7 times exceeds 1 s
    const auto step =
        std::min(max_backoff, 2 * min_backoff * (1 << std::min(retry, max_doublings)));
    return step / 2 + uniform_duration(random, step / 2);
}

} // namespace chivewharf::sched
