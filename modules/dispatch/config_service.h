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
        wall_ms time = 0; ///< time of the append by the platform's clock
        std::string data;
    };

    std::uint64_t from = 0;  ///< requested offset
    std::uint64_t first = 0; ///< oldest offset that the log still retains
    std::vector<entry> records;
    bool reached_end = false;
};

/// A configuration to put into force.
struct config_change {
    std::int64_t version = 0;
    settings::cluster_settings settings;
    /// Append time of the oldest readable record since which this host has been configured without
    /// interruption; none if it has been configured since the first configuration.
    std::optional<wall_ms> configured_since;
    bool configured_since_known = false; ///< false if the configuration came from a peer
};

/// Follows the configuration in the log and from peers, passes it on to peers, and republishes it
/// before the log's retention removes it.
class config_service {
public:
    static constexpr const char* stream = "configuration";

    config_service(identity self, std::string site, duration log_retention, action_list& actions,
                   metrics::registry& metrics, rng& random);

    std::uint64_t next_offset() const noexcept { return history_.next_offset(); }

    /// Processes the result of a read.
    /// \return the configuration to put into force, if it changed
    std::optional<config_change> on_read(const config_read& read);

    // Messages from peers.
    void on_version(const std::string& from, const wire::config_version& message);
    void on_request(const std::string& from, const wire::config_request& message);
    std::optional<config_change> on_record(const wire::config_record& message);

    /// Announces the version to a random one of the peers and, less often, to the hosts of other
    /// domains, and republishes the configuration when it is due. Call it about once a second.
    void tick(wall_ms now, const std::vector<std::string>& peers,
              const std::vector<std::string>& other_domain_hosts);

    std::int64_t version() const noexcept { return follower_.version(); }
    bool ready() const noexcept { return follower_.ready(); }

private:
    void log_entry(const configlog::history_entry& entry);
    void track_configured_since(const configlog::history_entry& entry);
    config_change make_change(bool from_log) const;

    identity self_;
    std::string site_;
    action_list& actions_;
    rng& random_;
    configlog::config_history history_;
    configlog::config_follower follower_;
    configlog::republisher republisher_;
    std::optional<wall_ms> configured_since_;
    bool configured_since_known_ = false;
    bool configured_ = false;
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
