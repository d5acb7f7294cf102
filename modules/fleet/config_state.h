#pragma once

#include <base/time.h>
#include <cstdint>
#include <fleet/cluster_config.h>
#include <optional>
#include <string_view>

namespace chivewharf::fleet {

/// The configuration in force, and the newest version that is known to exist. The version in force
/// only rises.
class config_state {
public:
    /// A newer version that another host has reported is requested from a host after this delay,
    /// unless the store delivers it first.
    static constexpr duration fetch_delay = milliseconds{80};
    static constexpr duration fetch_retry = milliseconds{300};
    /// The configuration in force stays usable for this long after a newer version was reported.
    static constexpr duration lag_limit = milliseconds{200};

    /// Puts a configuration in force.
    /// \return false if it is not newer than the one in force
    bool activate(cluster_config config);

    /// Records a version that another host has reported.
    void note_version(std::uint64_t version, time_point now);

    /// True if there is a configuration, and no newer version has been known for `lag_limit`.
    bool current(time_point now) const;

    /// True if a newer version should be requested now.
    bool fetch_due(time_point now) const;
    /// Records that the newer version was requested.
    void fetch_sent(time_point now) { fetch_sent_at_ = now; }

    /// Version in force; 0 if there is none.
    std::uint64_t version() const noexcept { return config_ ? config_->version : 0; }
    /// Highest version that any host has reported.
    std::uint64_t newest() const noexcept { return newest_; }
    const std::optional<cluster_config>& config() const noexcept { return config_; }

    /// Queue of a request; null if there is none.
    const queue_config* find_queue(std::string_view host, std::string_view path) const
    {
        return queues_.find(host, path);
    }

private:
    std::optional<cluster_config> config_;
    queue_index queues_;
    std::uint64_t newest_ = 0;
    time_point newer_seen_at_{}; ///< when a version newer than the one in force was first reported
    time_point fetch_sent_at_{};
};

} // namespace chivewharf::fleet
