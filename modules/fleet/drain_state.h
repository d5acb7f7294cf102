#pragma once

#include <base/time.h>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace chivewharf::fleet {

/// The failure domains that operators have drained, and the offset of the operators' topic that
/// this knowledge is based on. The topic has one partition, so that offsets order all versions.
///
/// For a drain that reaches hosts in different ways and orders: from the store, from the host
/// that reads it for its domain, and in reports of hosts that are behind or ahead.
class drain_state {
public:
    /// Time after the end of a drain until the domain's workers take their full load again. They
    /// may be cold, and the waiting work of the other domains would fill them at once.
    static constexpr duration ramp_time = seconds{5};
    /// The load starts with one of these parts of the capacity and rises by one in each step.
    static constexpr int ramp_parts = 10;

    /// Adopts the complete set of drained domains, as of the topic's records before `offset`.
    /// \return true if the set has changed; false also if the known state is at least as new
    bool learn(std::uint64_t offset, std::set<std::string> domains, time_point now);

    /// True if no task may be started in the domain.
    bool drained(const std::string& domain) const { return domains_.contains(domain); }

    /// Part of the capacity of the domain's workers that may be in use: 0 while it is drained, 1
    /// unless a drain has ended less than `ramp_time` ago.
    double usable_share(const std::string& domain, time_point now) const;

    /// Offset up to which the topic is known; 0: it is not known.
    std::uint64_t offset() const noexcept { return offset_; }
    const std::set<std::string>& domains() const noexcept { return domains_; }

private:
    std::uint64_t offset_ = 0;
    std::set<std::string> domains_;
    std::map<std::string, time_point> ended_; ///< when the drain of a domain ended
};

} // namespace chivewharf::fleet
