#pragma once

#include <base/time.h>
#include <cstdint>
#include <fleet/peer_clock.h>
#include <fleet/report_schedule.h>
#include <fleet/types.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>
#include <wire/messages.h>

namespace chivewharf::fleet {

/// What this host knows about another host.
struct host_view {
    wire::host_record record;
    std::uint64_t incarnation = 0; ///< random number of its process; 0 until it was linked
    bool linked = false;
    time_point link_changed{};                  ///< when `linked` changed
    time_point last_heard{};                    ///< when the last message arrived
    time_point last_report_sent{};              ///< when the last report was sent there
    bool has_jobs_here = false;                 ///< it waits for results of this host's shards
    std::optional<time_point> jobs_there_since; ///< since when this host has jobs at it
    time_point answered{};                      ///< when it last answered a message from this host
    std::optional<time_point> probed; ///< when an answer was requested that has not arrived yet
    std::optional<wire::host_report> report;
    time_point reported{};                             ///< when `report` arrived
    peer_clock clock;                                  ///< of its process
    std::map<wire::shard, shared_worker_list> workers; ///< of the shards that it owns, if told
    std::uint64_t worker_revision_sent = 0; ///< newest revision of this host's workers sent there

    /// True if the host owns a shard.
    bool owns() const { return report && !report->claims.empty(); }
    /// True if one of the two hosts has jobs at the other.
    bool shares_jobs() const { return has_jobs_here || jobs_there_since; }
};

/// The known entry hosts, whether they are alive, and their last reports.
class host_directory {
public:
    /// A host whose link has just broken counts as alive for this long, since both hosts may be
    /// alive.
    static constexpr duration reconnect_grace = milliseconds{120};
    /// A host that has had no link for this long is removed; the store lists it again if it comes
    /// back.
    static constexpr duration forget_after = seconds{60};
    /// A host that has had jobs of this one and has answered nothing for this long is asked for an
    /// answer.
    static constexpr duration probe_delay = milliseconds{250};
    /// An answer that takes longer than this proves that the host does not hear this one. It is
    /// longer than a pause of this process that goes unnoticed.
    static constexpr duration probe_limit = short_silence_limit;

    /// \param domain failure domain of this host
    explicit host_directory(std::string domain) : domain_{std::move(domain)} {}

    /// Adds or updates a host's record.
    /// \return true if the host is new or its record has changed
    bool learn(const wire::host_record& record, time_point now);

    void linked(const std::string& host, const std::string& domain, std::uint64_t incarnation,
                time_point now);
    void unlinked(const std::string& host, time_point now);
    void report(const std::string& host, wire::host_report report, time_point now);

    /// A message of any kind arrived.
    void message_received(const std::string& host, time_point now);

    /// A report was sent to the host.
    /// \param worker_revision revision of the workers in use that the host knows from now on
    void report_sent(const std::string& host, std::uint64_t worker_revision, time_point now);

    /// Replaces the hosts that wait for results of this host's shards.
    void set_requesters(const std::set<std::string>& hosts);

    /// Replaces the hosts that this host waits for results from.
    void set_owners_with_jobs(const std::set<std::string>& hosts, time_point now);

    bool same_domain(const host_view& host) const { return host.record.domain == domain_; }

    /// True if the host has reported and has not been silent for too long.
    bool alive(const host_view& host, time_point now) const;

    /// True if the host is linked, is expected to report regularly, and has been silent for too
    /// long.
    bool silent(const host_view& host, time_point now) const;

    /// The host has answered a message from this one, so that the link carries both directions.
    void answer_received(const std::string& host, time_point now);

    /// True if the host should be asked for an answer: it has jobs of this host, and its reports
    /// prove only that the link carries its own direction.
    bool probe_due(const host_view& host, time_point now) const;
    void probe_sent(const std::string& host, time_point now);

    /// True if the host has not answered a probe in time.
    bool unanswered(const host_view& host, time_point now) const;

    /// The host; null if it is not known.
    const host_view* find(const std::string& host) const;

    /// Removes hosts that have had no link for `forget_after`.
    void expire(time_point now);

    const std::map<std::string, host_view>& hosts() const noexcept { return hosts_; }
    std::vector<wire::host_record> records() const;

private:
    std::optional<duration> expected_silence(const host_view& host) const;

    std::string domain_;
    std::map<std::string, host_view> hosts_;
};

} // namespace chivewharf::fleet
