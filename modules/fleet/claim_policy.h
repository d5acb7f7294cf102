#pragma once

#include <base/time.h>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chivewharf::fleet {

/// A live host, for the decision who owns a failure domain.
struct claim_candidate {
    std::string host;
    bool home = false; ///< the host is in the domain
    bool able = false; ///< it may claim
    bool leaving = false;
    std::uint64_t fence_base = 0;
    std::uint64_t epoch = 0; ///< of its claim on the domain; 0 if it has none
};

/// What this host does about a domain.
///  - `none`: nothing changes. `claim`: it becomes the owner.
///  - `succeed`: it becomes the owner after the leaving one, worker by worker.
///  - `yield`: another host's claim goes before its own.
enum class claim_action : std::uint8_t { none, claim, succeed, yield };

/// Decides which host orders the starts in a failure domain. Every host decides for itself from
/// what others report; two that disagree are kept apart by the workers' fencing tokens.
class claim_policy {
public:
    /// Time after the start in which nothing is claimed, so that reports of owners arrive first.
    static constexpr duration settle = milliseconds{300};
    /// Each host waits this much longer than the one that goes before it.
    static constexpr duration rank_delay = milliseconds{250};
    /// Hosts of other domains leave the domain's own hosts this much time to come back.
    static constexpr duration foreign_delay = milliseconds{2500};

    claim_policy(std::string self, time_point started) : self_{std::move(self)}, started_{started}
    {
    }

    /// \param hosts live hosts, this one among them
    claim_action decide(const std::string& domain, const std::vector<claim_candidate>& hosts,
                        time_point now);

private:
    std::string self_;
    time_point started_;
    std::map<std::string, time_point> unowned_since_;
};

} // namespace chivewharf::fleet
