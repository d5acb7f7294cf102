#include <fleet/config_state.h>

#include <algorithm>
#include <utility>

namespace chivewharf::fleet {

bool config_state::activate(cluster_config config)
{
    if (config_ && config.version <= config_->version)
        return false;
    config_ = std::move(config);
    queues_ = queue_index{config_->queues};
    newest_ = std::max(newest_, config_->version);
    return true;
}

void config_state::note_version(std::uint64_t version, time_point now)
{
    if (version <= newest_)
        return;
    if (!config_ || config_->version == newest_)
        newer_seen_at_ = now;
    newest_ = version;
}

bool config_state::current(time_point now) const
{
    return config_ && (config_->version >= newest_ || now - newer_seen_at_ < lag_limit);
}

bool config_state::fetch_due(time_point now) const
{
    return version() < newest_ && now - newer_seen_at_ >= fetch_delay &&
           now - fetch_sent_at_ >= fetch_retry;
}

} // namespace chivewharf::fleet
