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

inline constexpr std::size_t watcher_count = 3;
inline constexpr duration heartbeat_period = milliseconds{500};

/// Silence after which a watcher suspects a host: three heartbeats are missing.
inline constexpr duration suspect_after = milliseconds{1500};

/// An unrefuted suspicion becomes a removal after this time, so a dead host is removed within
/// 2.5 s plus one tick and the message delay.
inline constexpr duration confirm_after = seconds{1};

/// A question about a suspected host is repeated, because one of its messages may be lost.
inline constexpr duration ask_again_after = milliseconds{250};

/// A host that hears nobody keeps its last view for this long before it removes silent hosts. The
/// likely cause is its own network, and removing everybody would make it take over all workers.
inline constexpr duration isolation_hold = seconds{10};

/// A gap between two ticks that is longer than this is a pause of this process: the silence of the
/// other hosts was not observed, so it does not count.
inline constexpr duration own_pause = seconds{1};

/// Period of the probe of one known host that is not live; it heals partitions.
inline constexpr duration probe_period = seconds{1};

/// Shortest time between two tables sent to the same host.
inline constexpr duration sync_period = seconds{2};

/// A joining host takes its full share of work after this time.
inline constexpr duration ramp_time = seconds{10};
inline constexpr double ramp_start = 0.1;

/// A removed host that neither the seats nor the platform name is forgotten after this time.
inline constexpr duration forget_after = std::chrono::hours{1};

/// Hosts in one table; about four times the entry hosts of the design size.
inline constexpr std::size_t max_hosts = 1024;

/// Incarnations remembered as replaced, for each host. The design size has 570 restarts a day on
/// 240 hosts, about 2 a day for each.
inline constexpr std::size_t max_retired = 16;

/// An entry host that is known by configuration or from the platform's list.
struct known_host {
    std::string domain;
    std::string host;
    std::string address;
};

/// What became of a member of this domain.
enum class member_change : std::uint8_t {
    joined,     ///< heard of for the first time, or under a new incarnation
    suspected,  ///< silent; still a member
    refuted,    ///< no longer suspected
    removed,    ///< dead or unreachable
    returned,   ///< live again under the incarnation that had been removed
    isolated,   ///< this host hears nobody and keeps its last view
    superseded, ///< another process runs under this host's name; this one must stop
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

/// What a call decided, in order.
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
    time_point heard_at{}; ///< last proof of life, from the host or through another watcher
};

/// Live entry hosts of this domain and known hosts of all domains. Feed it ticks (every 100 ms) and
/// messages from authenticated links; send what it returns and act on the events.
///
/// Each host sends heartbeats to the next 3 hosts on a hash ring. A watcher that hears nothing for
/// 1.5 s asks the suspect and its other watchers. It removes the host when another watcher also
/// suspects it, or after 1 s without a sign of life, and tells every member. Heartbeats carry a
/// hash of the sender's view; hosts whose views differ exchange tables.
///
/// A host that hears nobody emits `isolated` and keeps its last view for `isolation_hold`; with a
/// single other member there is no such hold, because a dead peer looks the same. Hosts that
/// disappear are still probed, one each second, so a healed partition merges within seconds.
class member_table {
public:
    /// `self` and its incarnation; starts at `now` with this host as the only member.
    member_table(known_host self, incarnation_id incarnation, time_point now);

    /// Replaces the configured seats. Hosts without a seat stay members while they are live.
    void set_configured_hosts(const std::vector<known_host>& seats);

    /// Replaces the platform's list. It lags, so it only names hosts to contact: it neither adds
    /// nor removes a member.
    void set_platform_hosts(const std::vector<known_host>& hosts);

    /// Sends heartbeats, questions and probes, and removes silent hosts.
    member_output tick(time_point now, rng& random);

    /// Handles a message from the host at the other end of an authenticated link. `sender` and
    /// `incarnation` come from its hello. Errors: `superseded_sender`, `own_name`, `other_domain`,
    /// `table_full`.
    result<member_output, membership_error> receive(const known_host& sender,
                                                    incarnation_id incarnation,
                                                    const member_message& m, time_point now);

    /// Members of this domain that are live or suspected, by name, this host included.
    std::vector<member> members() const;

    /// Number of `members()`.
    std::size_t live_count() const noexcept { return live_count_; }

    /// The member of that name, removed ones included; none if it was never heard of.
    std::optional<member> find(std::string_view host) const;

    /// True if the incarnation under that name is known to have been replaced.
    bool is_retired(std::string_view host, incarnation_id incarnation) const;

    /// Share of its full weight that a member takes: 0.1 to 1 over the first 10 s, 0 if not live.
    double weight(std::string_view host, time_point now) const;

    /// Known hosts of another domain (seats first, then the platform's list), by name.
    std::vector<known_host> hosts_of(std::string_view domain) const;

    /// The hosts of another domain to keep a link to: the first `count` of a rendezvous order that
    /// differs from host to host.
    std::vector<known_host> links_to(std::string_view domain, std::size_t count = 2) const;

    /// Other domains with known hosts.
    std::vector<std::string> other_domains() const;

    /// True while this host hears nobody and keeps its last view.
    bool isolated() const noexcept { return isolated_; }

private:
    struct record {
        member info;
        time_point suspected_at{};
        time_point next_question{};
        time_point watched_since{};
        time_point next_sync{};
        std::vector<incarnation_id> retired;
        bool watched = false;
        bool returned = false;
    };
    using record_map = std::map<std::string, record, std::less<>>;

    report_entry entry_of(const record& r, time_point now) const;
    member_report whole_table(time_point now, bool sync) const;
    std::uint64_t view_hash() const;
    bool is_peer(const record& r) const;
    void rebuild_ring();
    void refresh_watches(time_point now);
    void forgive_own_pause(time_point now);
    void update_isolation(time_point now, member_output& out);
    void end_isolation(time_point now);
    void send_heartbeats(time_point now, member_output& out);
    void check_watched(time_point now, member_output& out);
    void suspect(record& r, time_point now, member_output& out);
    void ask(record& r, time_point now, member_output& out);
    void probe(time_point now, rng& random, member_output& out);
    void forget_unknown(time_point now);
    void send_table(record& to, bool sync, time_point now, member_output& out);
    void challenge(record& r, time_point now, member_output& out);
    void set_live(record& r, time_point joined_at, time_point heard_at, member_change change,
                  member_output& out);
    void set_removed(record& r, member_output& out);
    void broadcast(const report_entry& entry, member_output& out) const;
    void heard(record& r, time_point at, member_output& out);
    static void retire(record& r, incarnation_id incarnation);
    void replace_incarnation(record& r, incarnation_id incarnation, time_point joined_at,
                             time_point heard_at, member_output& out);
    void on_heartbeat(record& from, const heartbeat& beat, time_point now, member_output& out);
    void on_report(record& from, const member_report& report, time_point now, member_output& out);
    void on_entry(record& from, const report_entry& entry, bool table, time_point now,
                  member_output& out);
    void learn(const report_entry& entry, time_point now, member_output& out);
    void on_other_incarnation(record& r, const report_entry& entry, time_point now,
                              member_output& out);
    void on_removal(record& r, bool table, time_point now, member_output& out);
    void on_own_entry(record& from, const report_entry& entry, time_point now, member_output& out);
    void on_suspicion(record& from, record& subject, const report_entry& entry, time_point now,
                      member_output& out);

    known_host self_;
    record_map records_;
    std::map<std::string, known_host, std::less<>> seats_;
    std::map<std::string, known_host, std::less<>> listed_;
    hash_ring ring_;
    std::size_t live_count_ = 1;
    bool ring_changed_ = true;
    bool isolated_ = false;
    bool superseded_ = false;
    time_point last_heard_;
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
