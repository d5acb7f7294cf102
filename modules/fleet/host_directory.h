#pragma once

#include <base/time.h>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>
#include <wire/messages.h>

namespace chivewharf::fleet {

/// A host as others see it.
struct host_view {
    wire::host_record record;
    std::uint64_t incarnation = 0; ///< random number of its process; 0 until it was linked
    bool linked = false;
    time_point changed{};       ///< when `linked` changed
    time_point heard{};         ///< when the last message arrived
    time_point told{};          ///< when the last report was sent there
    bool has_jobs_here = false; ///< it waits for results of this host's shards
    std::optional<wire::host_report> report;

    /// True if the host reports at short intervals: it owns shards, or has jobs here.
    bool reports_often() const { return has_jobs_here || (report && !report->claims.empty()); }
};

/// The entry hosts that are known, whether they live, and what they last reported.
class host_directory {
public:
    /// A host that reports often and whose last message is older is not alive.
    static constexpr duration silence_limit = milliseconds{500};
    /// The same for other hosts.
    static constexpr duration long_silence_limit = milliseconds{2500};
    /// A host whose link has just broken counts as alive for this long, since both may live.
    static constexpr duration reconnect_grace = milliseconds{120};
    /// A host without a link for this long is forgotten; the store names it again if it is back.
    static constexpr duration forget_after = seconds{60};

    /// Notes where a host can be reached.
    /// \return true if the host or its address is new
    bool learn(const wire::host_record& record, time_point now);

    void linked(const std::string& host, const std::string& domain, std::uint64_t incarnation,
                time_point now);
    void unlinked(const std::string& host, time_point now);
    void report(const std::string& host, wire::host_report report, time_point now);

    /// A message of any kind arrived.
    void heard(const std::string& host, time_point now);

    /// A report was sent to the host.
    void report_sent(const std::string& host, time_point now);

    /// Replaces the hosts that wait for results of this host's shards.
    void set_requesters(const std::set<std::string>& hosts);

    bool alive(const host_view& host, time_point now) const;

    /// True if the host is linked and has been silent for too long.
    bool silent(const host_view& host, time_point now) const;

    /// The host; null if it is not known.
    const host_view* find(const std::string& host) const;

    /// Forgets hosts that have not been reachable for long.
    void expire(time_point now);

    const std::map<std::string, host_view>& hosts() const noexcept { return hosts_; }
    std::vector<wire::host_record> records() const;

private:
    std::map<std::string, host_view> hosts_;
};

} // namespace chivewharf::fleet
