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

/// Finds out whether the workers of a domain whose hosts are silent can be reached. A domain whose
/// hosts and workers are both silent is cut off, and its own hosts go on serving it; taking it over
/// would only disturb them when the path is back.
class adoption_probe {
public:
    /// The workers have answered for this long before the domain is adopted. Hosts that were cut
    /// off together with them report sooner.
    static constexpr duration proof = milliseconds{700};

    adoption_probe(worker_port& port, const worker_directory& workers)
        : port_{port}, workers_{workers}
    {
    }
    adoption_probe(const adoption_probe&) = delete;
    adoption_probe& operator=(const adoption_probe&) = delete;

    /// Asks one of the domain's workers when that is due.
    /// \return true once they have answered for long enough
    bool proven(const std::string& domain, time_point now);

    /// The domain has an owner.
    void forget(const std::string& domain) { domains_.erase(domain); }

private:
    struct state {
        std::optional<time_point> answered_since; ///< a worker has answered each probe since then
        time_point next{};
        std::uint32_t unanswered = 0; ///< probes in a row
    };

    void answered(const std::string& domain, order_outcome outcome, time_point now);

    worker_port& port_;
    const worker_directory& workers_;
    std::map<std::string, state> domains_;
    std::shared_ptr<int> running_ = std::make_shared<int>(0); ///< late answers are ignored
};

} // namespace chivewharf::fleet
