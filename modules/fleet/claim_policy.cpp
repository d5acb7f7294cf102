#include <fleet/claim_policy.h>

#include <algorithm>
#include <tuple>

namespace chivewharf::fleet {

namespace {

/// Processor time per shard if the host owned this many shards.
double processor_per_shard(const claim_candidate& host, std::size_t owned)
{
    return static_cast<double>(host.processor_milli) /
           static_cast<double>(std::max<std::size_t>(owned, 1));
}

/// Precedence of claims: hosts that are not leaving, then hosts of the shard's domain, then the
/// higher epoch.
bool has_precedence(const claim_candidate& a, const claim_candidate& b)
{
    return std::tuple{!a.leaving, a.home, a.epoch, a.host} >
           std::tuple{!b.leaving, b.home, b.epoch, b.host};
}

/// Ranking of hosts without a claim: hosts of the shard's domain, then those with the most
/// processor time per shard after one more claim, then those that started first.
bool is_preferred(const claim_candidate& a, const claim_candidate& b)
{
    return std::tuple{!a.home, -processor_per_shard(a, a.owned + 1), a.fence_base, a.host} <
           std::tuple{!b.home, -processor_per_shard(b, b.owned + 1), b.fence_base, b.host};
}

bool may_claim(const claim_candidate& host)
{
    return host.can_claim && !host.leaving;
}

} // namespace

claim_action claim_policy::decide(const wire::shard& shard,
                                  const std::vector<claim_candidate>& hosts, time_point now)
{
    const claim_candidate* owner = nullptr;
    const claim_candidate* self = nullptr;
    for (const auto& host : hosts) {
        if (host.host == self_)
            self = &host;
        if (host.epoch > 0 && (owner == nullptr || has_precedence(host, *owner)))
            owner = &host;
    }
    if (self == nullptr)
        return claim_action::none;
    const auto rank = std::count_if(hosts.begin(), hosts.end(), [&](const claim_candidate& one) {
        return may_claim(one) && is_preferred(one, *self);
    });
    if (owner != nullptr && !owner->leaving) {
        unowned_since_.erase(shard);
        if (owner == self)
            return claim_action::none;
        if (self->epoch > 0)
            return self->leaving ? claim_action::none : claim_action::yield;
        // A host of the domain takes the shard back from a remote owner.
        const bool takes_back = may_claim(*self) && self->home && !owner->home && rank == 0;
        return takes_back ? claim_action::claim : claim_action::none;
    }
    if (!may_claim(*self) || self->epoch > 0 || now - started_ < settle_time)
        return claim_action::none;
    const auto since = unowned_since_.try_emplace(shard, now).first->second;
    const auto wait = rank * rank_delay + (self->home ? duration{0} : remote_delay);
    if (now - since < wait)
        return claim_action::none;
    return owner != nullptr ? claim_action::take_over : claim_action::claim;
}

bool claim_policy::should_offer(const std::vector<claim_candidate>& hosts) const
{
    const auto self = std::find_if(hosts.begin(), hosts.end(),
                                   [this](const auto& one) { return one.host == self_; });
    return self != hosts.end() &&
           std::any_of(hosts.begin(), hosts.end(), [&](const claim_candidate& one) {
               return one.home && may_claim(one) && one.epoch == 0 &&
                      processor_per_shard(one, one.owned + 1) >
                          offer_factor * processor_per_shard(*self, self->owned);
           });
}

} // namespace chivewharf::fleet
