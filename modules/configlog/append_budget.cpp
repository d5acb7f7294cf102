#include <configlog/append_budget.h>

#include <algorithm>

namespace chivewharf::configlog {

bool append_budget::take(time_point now, std::int64_t live_hosts)
{
    const double share = rate_ / static_cast<double>(std::max<std::int64_t>(live_hosts, 1));
    const auto elapsed = std::max(now - filled_at_, duration{0});
    tokens_ = std::min(burst, tokens_ + share * to_seconds(elapsed));
    filled_at_ = std::max(filled_at_, now);
    if (tokens_ < 1) {
        ++refused_;
        return false;
    }
    tokens_ -= 1;
    ++taken_;
    return true;
}

} // namespace chivewharf::configlog
