#include <fleet/drain_state.h>

#include <algorithm>
#include <utility>

namespace chivewharf::fleet {

bool drain_state::learn(std::uint64_t offset, std::set<std::string> domains, time_point now)
{
    if (offset <= offset_)
        return false;
    offset_ = offset;
    if (domains == domains_)
        return false;
    for (const auto& domain : domains_) {
        if (!domains.contains(domain))
            ended_[domain] = now;
    }
    for (const auto& domain : domains)
        ended_.erase(domain);
    domains_ = std::move(domains);
    return true;
}

double drain_state::usable_share(const std::string& domain, time_point now) const
{
    if (drained(domain))
        return 0;
    const auto ended = ended_.find(domain);
    if (ended == ended_.end())
        return 1;
    constexpr duration step = ramp_time / (ramp_parts - 1);
    const auto parts = 1 + std::max<std::int64_t>((now - ended->second) / step, 0);
    return std::min(static_cast<double>(parts) / ramp_parts, 1.0);
}

} // namespace chivewharf::fleet
