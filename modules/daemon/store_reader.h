#pragma once

#include <array>
#include <base/rng.h>
#include <fleet/fleet_host.h>
#include <fleet/ports.h>
#include <fleet/topic_follower.h>
#include <functional>
#include <memory>
#include <metrics/registry.h>
#include <runtime/supervisor.h>
#include <runtime/timer.h>

namespace chivewharf::daemon {

/// Turns the store's records into the product's types.
struct record_decoders {
    std::function<result<fleet::worker_entry, std::string>(const std::string& key,
                                                           std::string_view value)>
        worker;
    std::function<result<wire::host_record, std::string>(const std::string& key,
                                                         std::string_view value)>
        host;
};

/// Follows the store's topics, tells the core what changes, and publishes where this host can be
/// reached.
class store_reader final : public runtime::supervised {
public:
    store_reader(fleet::fleet_host& core, fleet::store_port& store, record_decoders decode,
                 metrics::registry& metrics, std::uint64_t seed);

    std::string name() const override { return "store"; }
    result<void, runtime::runtime_error>
    start(std::function<void(runtime::runtime_error)> failed) override;
    void stop() override;

private:
    struct followed {
        fleet::store_topic topic;
        fleet::topic_follower follower;
        runtime::timer next;
        std::uint32_t failures = 0;
    };

    void read(followed& topic);
    void answered(followed& topic, const fleet::store_reply& reply);
    void announce();
    void changed(fleet::store_topic topic, const fleet::keyed_record& record);
    void bad_record(fleet::store_topic topic, const std::string& key, const std::string& why);
    duration backoff(std::uint32_t failures);

    fleet::fleet_host& core_;
    fleet::store_port& store_;
    record_decoders decode_;
    metrics::registry& metrics_;
    rng random_;
    std::array<std::unique_ptr<followed>, enum_count<fleet::store_topic>> topics_;
    runtime::timer announce_timer_;
    std::uint32_t announce_failures_ = 0;
    std::shared_ptr<int> running_; ///< replies of an earlier run are ignored
};

} // namespace chivewharf::daemon
