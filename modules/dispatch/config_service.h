#pragma once

#include <base/rng.h>
#include <configlog/config_follower.h>
#include <configlog/config_history.h>
#include <configlog/republisher.h>
#include <dispatch/action.h>
#include <dispatch/identity.h>
#include <metrics/registry.h>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace chivewharf::dispatch {

/// Result of one read of the configuration stream.
struct config_read {
    struct entry {
        std::uint64_t offset = 0;
        wall_ms time = 0; ///< of the append, by the platform's clock
        std::string data;
    };

    std::uint64_t from = 0;  ///< offset that was asked for
    std::uint64_t first = 0; ///< first offset that the log still holds
    std::vector<entry> records;
    bool reached_end = false;
};

/// A configuration that is now in force.
struct config_change {
    std::int64_t version = 0;
    settings::cluster_settings settings;
    /// Append time of the oldest readable record from which on this host has had its seat; none if
    /// it has had it since the first configuration.
    std::optional<wall_ms> seat_since;
    bool seat_time_known = false; ///< false: the configuration came from a peer
};

/// Follows the configuration from the log and from peers, passes it on, and keeps it from ageing
/// out of the log.
class config_service {
public:
    static constexpr const char* stream = "configuration";

    config_service(identity self, std::string site, duration log_retention, action_list& actions,
                   metrics::registry& metrics, rng& random);

    std::uint64_t next_offset() const noexcept { return history_.next_offset(); }

    /// Takes the result of a read. \return the configuration if another one is now in force
    std::optional<config_change> on_read(const config_read& read);

    /// Peer protocol.
    void on_version(const std::string& from, const wire::config_version& message);
    void on_request(const std::string& from, const wire::config_request& message);
    std::optional<config_change> on_record(const wire::config_record& message);

    /// Tells the version to one of the peers and to one host of each other domain, and publishes
    /// the configuration again when it is due. Call it about once a second.
    void tick(wall_ms now, const std::vector<std::string>& peers,
              const std::vector<std::string>& other_domain_hosts);

    std::int64_t version() const noexcept { return follower_.version(); }
    bool ready() const noexcept { return follower_.ready(); }

private:
    void log_entry(const configlog::history_entry& entry);
    void track_seat(const configlog::history_entry& entry);
    config_change change(bool from_log) const;

    identity self_;
    std::string site_;
    action_list& actions_;
    rng& random_;
    configlog::config_history history_;
    configlog::config_follower follower_;
    configlog::republisher republisher_;
    std::optional<wall_ms> seat_since_;
    bool seat_tracked_ = false;
    bool seat_present_ = false;
    std::uint64_t republications_ = 0;
    std::uint64_t ticks_ = 0;
    std::uint64_t& accepted_;
    std::uint64_t& rejected_;
    std::uint64_t& republished_;
    std::uint64_t& from_peers_;
    std::uint64_t& violations_;
    double& version_gauge_;
};

} // namespace chivewharf::dispatch
