#pragma once

#include <base/time.h>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>
#include <wire/messages.h>

namespace chivewharf::fleet {

/// A live host, for the decision who owns a shard.
struct claim_candidate {
    std::string host;
    bool home = false;    ///< the host is in the shard's failure domain
    bool able = false;    ///< it may claim
    bool leaving = false; ///< it stops as planned, or offers the shard to others
    std::uint64_t fence_base = 0;
    std::uint64_t epoch = 0; ///< of its claim on the shard; 0 if it has none
    std::size_t owned = 0;   ///< all shards that it owns
    std::uint32_t processor_milli = 0;
};

/// What this host does about a shard.
///  - `none`: nothing changes. `claim`: it becomes the owner.
///  - `succeed`: it becomes the owner after the leaving one, worker by worker.
///  - `yield`: another host's claim goes before its own.
enum class claim_action : std::uint8_t { none, claim, succeed, yield };

/// Decides which host orders the starts in a shard. Every host decides for itself from what others
/// report; two that disagree are kept apart by the workers' fencing tokens. Shards go to the hosts
/// with the most processor time for each shard that they own.
class claim_policy {
public:
    /// Time after the start in which nothing is claimed, so that reports of owners arrive first.
    static constexpr duration settle = milliseconds{300};
    /// Each host waits this much longer than the one that goes before it.
    static constexpr duration rank_delay = milliseconds{250};
    /// Hosts of other domains leave the domain's own hosts this much time to come back.
    static constexpr duration foreign_delay = milliseconds{2500};
    /// A shard is offered to a host that has this many times the owner's processor time for it.
    static constexpr double offer_factor = 1.5;

    claim_policy(std::string self, time_point started) : self_{std::move(self)}, started_{started}
    {
    }

    /// \param hosts live hosts, this one among them
    claim_action decide(const wire::shard& shard, const std::vector<claim_candidate>& hosts,
                        time_point now);

    /// True if this host, which owns the shard, should offer it to another host.
    bool should_offer(const std::vector<claim_candidate>& hosts) const;

private:
    std::string self_;
    time_point started_;
    std::map<wire::shard, time_point> unowned_since_;
};

} // namespace chivewharf::fleet
