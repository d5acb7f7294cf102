#include <fleet/adoption_probe.h>

#include <utility>
#include <vector>

namespace chivewharf::fleet {

namespace {

constexpr duration probe_interval = milliseconds{200};
/// One worker may be down; this many probes of different workers in a row are not lost by chance.
constexpr std::uint32_t lost_probes = 3;
/// Lower than every owner's token: the worker refuses the look, and nothing changes there.
constexpr std::uint64_t probe_token = 1;

} // namespace

bool adoption_probe::proven(const std::string& domain, time_point now)
{
    auto& probe = domains_[domain];
    if (now >= probe.next) {
        probe.next = now + probe_interval;
        std::vector<worker_address> there;
        for (const auto& worker : workers_.list()) {
            if (worker.domain == domain && !worker.leaving)
                there.push_back({worker.id, worker.address});
        }
        if (there.empty())
            return false;
        const auto turn = static_cast<std::size_t>(now.time_since_epoch() / probe_interval);
        port_.poll_status(
            {there[turn % there.size()], probe_token, 0, {}, {}},
            [this, domain, alive = std::weak_ptr<int>{running_}](const status_reply& reply) {
                if (!alive.expired())
                    answered(domain, reply.outcome, reply.received);
            });
    }
    return probe.answered_since && now - *probe.answered_since >= proof;
}

void adoption_probe::answered(const std::string& domain, order_outcome outcome, time_point now)
{
    auto& probe = domains_[domain];
    if (outcome != order_outcome::unanswered) {
        probe.unanswered = 0;
        if (!probe.answered_since)
            probe.answered_since = now;
    }
    else if (++probe.unanswered >= lost_probes) {
        probe.answered_since.reset();
    }
}

} // namespace chivewharf::fleet
