#pragma once

#include <base/time.h>
#include <cstdint>
#include <fleet/cluster_config.h>
#include <optional>
#include <string_view>

namespace chivewharf::fleet {

/// The configuration in force, and what is known of newer ones. The version only rises.
class config_state {
public:
    /// A newer version that another host has shown is asked for after this time, unless the store
    /// gives it first.
    static constexpr duration fetch_delay = milliseconds{80};
    static constexpr duration fetch_retry = milliseconds{300};
    /// The own configuration stays in use for this long after a newer one was heard of.
    static constexpr duration lag_limit = milliseconds{200};

    /// Puts a configuration in force.
    /// \return false if it is not newer than the one in force
    bool take(cluster_config config);

    /// Another host has shown the version.
    void heard(std::uint64_t version, time_point now);

    /// True if there is a configuration, and none newer has been known for longer than a moment.
    bool current(time_point now) const;

    /// True if a newer version is to be asked for now.
    bool fetch_due(time_point now) const;
    /// A host has been asked for it.
    void fetch_sent(time_point now) { asked_ = now; }

    /// Version in force; 0 if there is none.
    std::uint64_t version() const noexcept { return config_ ? config_->version : 0; }
    /// Greatest version that any host has shown.
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
    time_point newer_heard_{}; ///< when a newer version than the own one was first shown
    time_point asked_{};
};

} // namespace chivewharf::fleet
