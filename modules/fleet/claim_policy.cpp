#include <fleet/claim_policy.h>

#include <algorithm>
#include <tuple>

namespace chivewharf::fleet {

namespace {

/// Order of claims: hosts that stay, then the domain's own, then the higher epoch.
bool goes_before(const claim_candidate& a, const claim_candidate& b)
{
    return std::tuple{!a.leaving, a.home, a.epoch, a.host} >
           std::tuple{!b.leaving, b.home, b.epoch, b.host};
}

/// Order of hosts without a claim: the domain's own, then those that have lived longest.
bool preferred(const claim_candidate& a, const claim_candidate& b)
{
    return std::tuple{!a.home, a.fence_base, a.host} < std::tuple{!b.home, b.fence_base, b.host};
}

} // namespace

claim_action claim_policy::decide(const std::string& domain,
                                  const std::vector<claim_candidate>& hosts, time_point now)
{
    const claim_candidate* owner = nullptr;
    const claim_candidate* self = nullptr;
    for (const auto& host : hosts) {
        if (host.host == self_)
            self = &host;
        if (host.epoch > 0 && (owner == nullptr || goes_before(host, *owner)))
            owner = &host;
    }
    if (self == nullptr)
        return claim_action::none;
    if (owner != nullptr && !owner->leaving) {
        unowned_since_.erase(domain);
        if (self->epoch == 0 || owner == self)
            // A home host takes its domain back from one of another domain.
            return self->epoch == 0 && self->able && !self->leaving && self->home && !owner->home &&
                           std::none_of(hosts.begin(), hosts.end(),
                                        [&](const claim_candidate& one) {
                                            return one.home && one.able && !one.leaving &&
                                                   preferred(one, *self);
                                        })
                       ? claim_action::claim
                       : claim_action::none;
        return self->leaving ? claim_action::none : claim_action::yield;
    }
    if (self->leaving || !self->able || self->epoch > 0 || now - started_ < settle)
        return claim_action::none;
    const auto since = unowned_since_.try_emplace(domain, now).first->second;
    const auto rank = std::count_if(hosts.begin(), hosts.end(), [&](const claim_candidate& one) {
        return one.able && !one.leaving && preferred(one, *self);
    });
    const auto wait = rank * rank_delay + (self->home ? duration{0} : foreign_delay);
    if (now - since < wait)
        return claim_action::none;
    return owner != nullptr ? claim_action::succeed : claim_action::claim;
}

} // namespace chivewharf::fleet
