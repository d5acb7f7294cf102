#pragma once

#include <base/time.h>
#include <cstdint>
#include <fleet/ports.h>
#include <fleet/worker_directory.h>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace chivewharf::fleet {

/// Checks whether the workers of a domain whose hosts are silent can be reached, before a remote
/// host claims (adopts) its shards. If hosts and workers are both silent, the domain is cut off and
/// its own hosts go on serving it; a claim would only interrupt them once the network path is
/// restored.
class adoption_probe {
public:
    /// Workers must have answered for this long before the domain is adopted. Hosts that were cut
    /// off together with them report again sooner than that.
    static constexpr duration confirmation_period = milliseconds{700};

    adoption_probe(worker_port& port, const worker_directory& workers)
        : port_{port}, workers_{workers}
    {
    }
    adoption_probe(const adoption_probe&) = delete;
    adoption_probe& operator=(const adoption_probe&) = delete;

    /// Probes one of the domain's workers if a probe is due.
    /// \return true once workers have answered for `confirmation_period`
    bool workers_reachable(const std::string& domain, time_point now);

    /// Discards the state of a domain that has an owner.
    void forget(const std::string& domain) { domains_.erase(domain); }

private:
    struct state {
        std::optional<time_point> answered_since; ///< start of the period in which workers answer
        time_point next{};                        ///< when the next probe is due
        std::uint32_t unanswered = 0;             ///< consecutive probes without a reply
    };

    void on_reply(const std::string& domain, order_outcome outcome, time_point now);

    worker_port& port_;
    const worker_directory& workers_;
    std::map<std::string, state> domains_;
    /// Destroyed with this object, so that late replies are ignored.
    std::shared_ptr<int> lifetime_ = std::make_shared<int>(0);
};

} // namespace chivewharf::fleet
