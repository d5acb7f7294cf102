#pragma once

#include <array>
#include <base/rng.h>
#include <fleet/fleet_host.h>
#include <fleet/operator_key.h>
#include <fleet/ports.h>
#include <fleet/topic_reader.h>
#include <functional>
#include <memory>
#include <metrics/registry.h>
#include <optional>
#include <runtime/supervisor.h>
#include <runtime/timer.h>
#include <set>
#include <string>

namespace chivewharf::daemon {

/// Decoders of the records in the platform's store. Each returns an error message if the record
/// is invalid.
struct record_decoders {
    std::function<result<fleet::worker_entry, std::string>(const std::string& key,
                                                           std::string_view value)>
        worker;
    std::function<result<wire::host_record, std::string>(const std::string& key,
                                                         std::string_view value)>
        host;
    /// Tells from a key of the operators' topic what its record is about.
    std::function<fleet::operator_key(const std::string& key)> operator_key;
};

/// Follows the topics of the platform's store, by reading them or through the host of the failure
/// domain that reads them, reports changes to the core, and publishes this host's peer address.
class store_reader final : public runtime::supervised {
public:
    store_reader(fleet::fleet_host& core, fleet::store_port& store, record_decoders decoders,
                 metrics::registry& metrics, std::uint64_t seed);

    std::string name() const override { return "store"; }
    result<void, runtime::runtime_error>
    start(std::function<void(runtime::runtime_error)> failed) override;
    void stop() override;

private:
    struct followed_topic {
        fleet::topic_reader reader;
        std::uint32_t failures = 0;
        bool reading = false;
    };

    void read_due_topics();
    void read(followed_topic& topic);
    void handle_reply(followed_topic& topic, const fleet::store_reply& reply);
    void handle_passed_on(const wire::store_records& records, time_point now);
    void note_complete(const followed_topic& topic);
    void announce();
    fleet::relay handle_record(fleet::store_topic topic, const fleet::keyed_record& record);
    fleet::relay handle_operator_record(const fleet::keyed_record& record);
    void log_unused_key(const std::string& key);
    /// Hands the drains and the configuration to the core once all records up to the position in
    /// the operators' topic are known.
    void apply_operator_records(const followed_topic& topic, time_point now);
    fleet::relay handle_worker(const fleet::keyed_record& record, time_point now);
    void report_bad_record(fleet::store_topic topic, const std::string& key,
                           const std::string& problem);
    duration backoff(std::uint32_t failures);

    fleet::fleet_host& core_;
    fleet::store_port& store_;
    record_decoders decoders_;
    metrics::registry& metrics_;
    rng random_;
    std::array<std::unique_ptr<followed_topic>, enum_count<fleet::store_topic>> topics_;
    std::set<std::string> drained_domains_;  ///< by the records that this host has read
    std::optional<std::string> read_config_; ///< not handed to the core yet
    std::set<std::string> unused_keys_;      ///< keys of the operators' topic that were logged
    runtime::timer read_timer_;
    runtime::timer announce_timer_;
    std::uint32_t announce_failures_ = 0;
    std::shared_ptr<int> run_token_; ///< expires at `stop`; replies that arrive later are ignored
};

} // namespace chivewharf::daemon
