#pragma once

#include <base/time.h>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>
#include <wire/messages.h>

namespace chivewharf::fleet {

/// A live host as a candidate for the ownership of a shard.
struct claim_candidate {
    std::string host;
    bool home = false;      ///< the host is in the shard's failure domain
    bool can_claim = false; ///< it has the data that a claim needs
    bool leaving = false;   ///< it is shutting down, or offers the shard to other hosts
    std::uint64_t fence_base = 0;
    std::uint64_t epoch = 0; ///< of its claim on the shard; 0 if it has none
    std::size_t owned = 0;   ///< number of shards that it owns
    std::uint32_t processor_milli = 0;
};

/// Next action of this host for a shard.
///  - `none`: nothing changes. `claim`: it becomes the owner.
///  - `take_over`: it becomes the owner and acquires each worker once the leaving owner releases
///    it.
///  - `yield`: it gives up its claim, because another host's claim has precedence.
enum class claim_action : std::uint8_t { none, claim, take_over, yield };

/// Decides which host owns a shard and orders the starts at its workers. Every host decides for
/// itself from the reports of others; if two hosts disagree, the workers' fencing tokens keep them
/// apart. Shards go to the hosts with the most processor time per owned shard.
class claim_policy {
public:
    /// No shard is claimed for this long after the start, so that reports of existing owners arrive
    /// first.
    static constexpr duration settle_time = milliseconds{300};
    /// Each host waits this much longer than the one ranked before it.
    static constexpr duration rank_delay = milliseconds{250};
    /// Hosts of other domains wait this much longer, so that the domain's own hosts can come back.
    static constexpr duration remote_delay = milliseconds{2500};
    /// A shard is offered if another host has more than this many times the owner's processor time
    /// per shard.
    static constexpr double offer_factor = 1.5;

    claim_policy(std::string self, time_point started) : self_{std::move(self)}, started_{started}
    {
    }

    /// \param hosts live hosts, including this one
    claim_action decide(const wire::shard& shard, const std::vector<claim_candidate>& hosts,
                        time_point now);

    /// Another host owns the shard, and this host has nothing to decide about it.
    void note_owned(const wire::shard& shard) { unowned_since_.erase(shard); }

    /// True if this host, which owns the shard, should offer it to another host.
    bool should_offer(const std::vector<claim_candidate>& hosts) const;

private:
    std::string self_;
    time_point started_;
    std::map<wire::shard, time_point> unowned_since_;
};

} // namespace chivewharf::fleet
