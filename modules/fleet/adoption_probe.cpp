#include <fleet/adoption_probe.h>

#include <utility>
#include <vector>

namespace chivewharf::fleet {

namespace {

constexpr duration probe_interval = milliseconds{200};
/// A single worker may be down; this many consecutive lost probes of different workers mean that
/// the domain is not reachable.
constexpr std::uint32_t max_lost_probes = 3;
/// Lower than every owner's token: the worker refuses the status poll, and its state does not
/// change.
constexpr std::uint64_t probe_token = 1;

} // namespace

bool adoption_probe::workers_reachable(const std::string& domain, time_point now)
{
    auto& probe = domains_[domain];
    if (now >= probe.next) {
        probe.next = now + probe_interval;
        std::vector<worker_address> candidates;
        for (const auto& worker : workers_.list()) {
            if (worker.domain == domain && !worker.leaving)
                candidates.push_back({worker.id, worker.address});
        }
        if (candidates.empty())
            return false;
        const auto index = static_cast<std::size_t>(now.time_since_epoch() / probe_interval);
        port_.poll_status(
            {candidates[index % candidates.size()], probe_token, 0, {}, {}},
            [this, domain, alive = std::weak_ptr<int>{lifetime_}](const status_reply& reply) {
                if (!alive.expired())
                    on_reply(domain, reply.outcome, reply.received);
            });
    }
    return probe.answered_since && now - *probe.answered_since >= confirmation_period;
}

void adoption_probe::on_reply(const std::string& domain, order_outcome outcome, time_point now)
{
    auto& probe = domains_[domain];
    if (outcome != order_outcome::unanswered && outcome != order_outcome::not_sent) {
        probe.unanswered = 0;
        if (!probe.answered_since)
            probe.answered_since = now;
    }
    else if (++probe.unanswered >= max_lost_probes) {
        probe.answered_since.reset();
    }
}

} // namespace chivewharf::fleet
