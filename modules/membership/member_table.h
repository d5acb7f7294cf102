#pragma once

#include <array>
#include <base/enum_names.h>
#include <base/rng.h>
#include <base/time.h>
#include <cstddef>
#include <cstdint>
#include <map>
#include <membership/hash_ring.h>
#include <membership/membership_error.h>
#include <membership/messages.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chivewharf::membership {

/// Number of hosts that receive the heartbeats of a host and monitor it: its watchers.
inline constexpr std::size_t watcher_count = 3;
inline constexpr duration heartbeat_period = milliseconds{500};

/// Time without a sign of life, equal to three missed heartbeats, after which a watcher suspects a
/// host.
inline constexpr duration suspect_after = milliseconds{1500};

/// Time after which a suspected host is removed unless the suspicion is refuted. A failed host is
/// thus removed within 2.5 s plus one tick and the message delay.
inline constexpr duration confirm_after = seconds{1};

/// Interval at which a query about a suspected host is repeated, because messages may be lost.
inline constexpr duration query_interval = milliseconds{250};

/// Time for which an isolated host, which receives no messages, keeps its last view before it
/// removes silent hosts. The likely cause is its own network, and removing all hosts would make it
/// take over all workers.
inline constexpr duration isolation_hold = seconds{10};

/// A gap between two ticks that is longer than this counts as a pause of this process. The gap is
/// not counted as silence of the other hosts, because this process could not receive anything.
inline constexpr duration pause_threshold = seconds{1};

/// Interval of the probes, each of which goes to one known host that is not a member. Probes let
/// the two sides of a partition merge after it heals.
inline constexpr duration probe_period = seconds{1};

/// Minimum time between two full tables sent to the same host.
inline constexpr duration sync_period = seconds{2};

/// Time over which the weight of a joining host rises from `ramp_start` to 1.
inline constexpr duration ramp_time = seconds{10};
inline constexpr double ramp_start = 0.1;

/// Time since its last sign of life after which a removed host is deleted from the table, unless it
/// is a configured host or in the platform's list.
inline constexpr duration removed_retention = std::chrono::hours{1};

/// Maximum number of hosts in one table, about four times the number of entry hosts in the design
/// size.
inline constexpr std::size_t max_hosts = 1024;

/// Maximum number of replaced incarnations stored per host. The design size has 570 restarts per
/// day on 240 hosts, about 2 per day for each.
inline constexpr std::size_t max_retired = 16;

/// An entry host that is known from the configuration or the platform's list.
struct known_host {
    std::string domain;
    std::string host;
    std::string address;
};

/// Change in the state of a member of this domain.
enum class member_change : std::uint8_t {
    joined,     ///< seen for the first time, or with a new incarnation
    suspected,  ///< silent, but still a member
    refuted,    ///< no longer suspected
    removed,    ///< failed or unreachable
    returned,   ///< live again with the incarnation that had been removed
    isolated,   ///< this host receives no messages and keeps its last view
    superseded, ///< a newer process uses this host's name; this process must stop
};

struct member_event {
    member_change change;
    std::string host;
    incarnation_id incarnation = 0;
};

/// A message to send to a host of this domain.
struct send_action {
    std::string host;
    member_message message;
};

/// Messages to send and events to handle as the result of a call, each in order.
struct member_output {
    std::vector<send_action> sends;
    std::vector<member_event> events;
};

/// A member of this domain, as this host sees it.
struct member {
    std::string host;
    std::string address;
    incarnation_id incarnation = 0;
    std::uint32_t sequence = 0;
    member_state state = member_state::live;
    time_point joined_at{};
    time_point heard_at{}; ///< last sign of life, received directly or reported by another host
};

/// Live entry hosts of this domain and known hosts of all domains. Call `tick` every 100 ms and
/// `receive` for each message from an authenticated link; send the returned messages and handle the
/// returned events.
///
/// Each host sends heartbeats to its watchers, the next 3 hosts on a hash ring. A watcher that
/// receives nothing for 1.5 s suspects the host and queries both it and its other watchers. The
/// host is removed when a second watcher confirms the suspicion, or after another 1 s without a
/// sign of life; the removal is sent to all members. Heartbeats carry a hash of the sender's
/// membership view, and hosts whose views differ exchange full tables.
///
/// A host that receives no messages emits `isolated` and keeps its last view for `isolation_hold`.
/// This does not apply with a single other member, since its failure cannot be told from isolation.
/// Removed hosts are still probed, one per second, so that the sides of a healed partition merge
/// within seconds.
class member_table {
public:
    /// Starts with this host, `self`, as the only member.
    member_table(known_host self, incarnation_id incarnation, time_point now);

    /// Replaces the configured hosts. Other hosts stay members while they are live.
    void set_configured_hosts(const std::vector<known_host>& hosts);

    /// Replaces the platform's list of hosts. The list lags behind, so it only provides hosts to
    /// contact and neither adds nor removes members.
    void set_platform_hosts(const std::vector<known_host>& hosts);

    /// Sends heartbeats, queries about suspected hosts and probes, and removes silent hosts.
    member_output tick(time_point now, rng& random);

    /// Handles a message from the host at the other end of an authenticated link. `sender` and
    /// `incarnation` come from its hello message. Errors: `superseded_sender`, `own_name`,
    /// `other_domain`, `table_full`.
    result<member_output, membership_error> receive(const known_host& sender,
                                                    incarnation_id incarnation,
                                                    const member_message& m, time_point now);

    /// Live and suspected members of this domain, including this host, sorted by name.
    std::vector<member> members() const;

    /// Number of `members()`.
    std::size_t live_count() const noexcept { return live_count_; }

    /// The host of this name, even if it was removed; none if it is not in the table.
    std::optional<member> find(std::string_view host) const;

    /// True if this incarnation of the host is known to have been replaced.
    bool is_retired(std::string_view host, incarnation_id incarnation) const;

    /// Fraction of its full weight that a member has now: rises from 0.1 to 1 over the first 10 s;
    /// 0 if the host is not a member.
    double weight(std::string_view host, time_point now) const;

    /// Known hosts of a domain, sorted by name. Where the configuration and the platform's list
    /// have the same name, the configured host is returned.
    std::vector<known_host> hosts_of(std::string_view domain) const;

    /// The hosts of another domain to keep a link to: the first `count` by rendezvous hashing with
    /// this host's name, which spreads the links of different hosts over that domain.
    std::vector<known_host> links_to(std::string_view domain, std::size_t count = 2) const;

    /// Names of the other domains that have known hosts.
    std::vector<std::string> other_domains() const;

    /// True while this host receives no messages and keeps its last view.
    bool isolated() const noexcept { return isolated_; }

private:
    struct record {
        member info;
        time_point suspected_at{};
        time_point next_query{};
        time_point watched_since{};
        time_point next_sync{};
        std::vector<incarnation_id> retired;
        bool watched = false;
        bool returned = false;
    };
    using record_map = std::map<std::string, record, std::less<>>;

    report_entry entry_of(const record& r, time_point now) const;
    member_report full_table(time_point now, bool sync) const;
    std::uint64_t view_hash() const;
    bool is_peer(const record& r) const;
    void rebuild_ring();
    void update_watched(time_point now);
    void compensate_for_pause(time_point now);
    void update_isolation(time_point now, member_output& out);
    void end_isolation(time_point now);
    void send_heartbeats(time_point now, member_output& out);
    void check_watched(time_point now, member_output& out);
    void suspect(record& r, time_point now, member_output& out);
    void query_suspect(record& r, time_point now, member_output& out);
    void probe(time_point now, rng& random, member_output& out);
    void erase_unlisted(time_point now);
    void send_table(record& to, bool sync, time_point now, member_output& out);
    void request_refutation(record& r, time_point now, member_output& out);
    void set_live(record& r, time_point joined_at, time_point heard_at, member_change change,
                  member_output& out);
    void set_removed(record& r, member_output& out);
    void broadcast(const report_entry& entry, member_output& out) const;
    void record_contact(record& r, time_point at, member_output& out);
    static void retire(record& r, incarnation_id incarnation);
    void replace_incarnation(record& r, incarnation_id incarnation, time_point joined_at,
                             time_point heard_at, member_output& out);
    void on_heartbeat(record& from, const heartbeat& beat, time_point now, member_output& out);
    void on_report(record& from, const member_report& report, time_point now, member_output& out);
    void on_entry(record& from, const report_entry& entry, bool table, time_point now,
                  member_output& out);
    void add_host(const report_entry& entry, time_point now, member_output& out);
    void on_other_incarnation(record& r, const report_entry& entry, time_point now,
                              member_output& out);
    void on_removal(record& r, bool table, time_point now, member_output& out);
    void on_own_entry(record& from, const report_entry& entry, time_point now, member_output& out);
    void on_suspicion(record& from, record& subject, const report_entry& entry, time_point now,
                      member_output& out);

    known_host self_;
    record_map records_;
    std::map<std::string, known_host, std::less<>> configured_hosts_;
    std::map<std::string, known_host, std::less<>> platform_hosts_;
    hash_ring ring_;
    std::size_t live_count_ = 1;
    bool ring_changed_ = true;
    bool isolated_ = false;
    bool superseded_ = false;
    time_point last_received_;
    time_point last_tick_;
    time_point next_heartbeat_;
    time_point next_probe_;
    time_point view_changed_;
};

} // namespace chivewharf::membership

namespace chivewharf {

template <>
struct enum_names<membership::member_change> {
    static constexpr std::array<std::string_view, 7> names{
        "joined", "suspected", "refuted", "removed", "returned", "isolated", "superseded"};
};

} // namespace chivewharf
