#pragma once

#include <base/time.h>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <runtime/http_client.h>
#include <string>
#include <testing/support/process_group.h>
#include <testing/support/relay.h>
#include <vector>

namespace chivewharf::soak {

using nlohmann::json;
using testing_support::child;
using testing_support::disturbance;
using testing_support::process_group;
using testing_support::relay;
using testing_support::route_name;
using testing_support::target_kind;

inline constexpr int entry_count = 7;
inline constexpr const char* domain_names[] = {"north", "east", "west"};
inline constexpr int entry_domain[entry_count] = {0, 0, 0, 1, 1, 2, 2};
inline constexpr const char* customer_names[] = {"plan", "poll"};
inline constexpr const char* operator_token = "ops-token";

/// Lease, id lifetime and drain notice in the settings of the run, in milliseconds.
inline constexpr wall_ms lease_ms = 3000;
inline constexpr wall_ms id_lifetime_ms = 15000;
inline constexpr wall_ms drain_notice_ms = 1000;

struct runner_info {
    std::string name;
    int domain;
    int service; ///< 0 plugdesk, 1 dialler-core; same order as customer_names
    int process; ///< index of the upstream process that simulates it
    std::string address;
};

/// The processes of the soak, and the settings that route their connections through the relay.
class cluster {
public:
    cluster(std::string bin, std::string folder);
    ~cluster();
    cluster(const cluster&) = delete;
    cluster& operator=(const cluster&) = delete;

    void start_standins();
    void start_entries();
    void start(child& one) { processes_.start(one); }
    void send_signal(child& one, int number) { processes_.send_signal(one, number); }

    /// Increments the version and returns its configuration record for the log.
    std::string next_record();
    int version() const { return version_; }

    std::string caller_url(int entry) const;
    std::string platform_url() const;
    std::string upstream_url(int process) const;
    /// The platform's list of hosts, with the named runners in state `leaving`.
    json host_list(const std::vector<std::string>& leaving) const;

    std::vector<child>& entries() { return entries_; }
    const std::vector<child>& upstreams() const { return upstreams_; }
    const std::vector<runner_info>& runners() const { return runners_; }
    relay& network() { return relay_; }
    const std::vector<std::string>& unexpected_exits() const
    {
        return processes_.unexpected_exits();
    }
    std::size_t process_count() const { return entries_.size() + upstreams_.size() + 2; }

    /// Sum and maximum of the resident memory of the entry processes, in KiB.
    std::pair<long, long> memory() const;

    runtime::http_client& http() { return http_; }
    /// Sends a request and passes the JSON answer to `done`, or discarded JSON if there was none.
    void request_json(const std::string& method, const std::string& url, std::string body,
                      std::function<void(json)> done, const std::string& token = {});

private:
    std::string ip(int host) const { return network_prefix_ + std::to_string(host); }
    json base_settings() const;
    json overlay(int entry) const;
    void add_routes();

    std::string bin_;
    std::string folder_;
    std::string network_prefix_;
    process_group processes_;
    std::vector<child> entries_;
    std::vector<child> upstreams_;
    child platform_;
    std::vector<runner_info> runners_;
    int version_ = 0;
    relay relay_;
    runtime::http_client http_;
};

} // namespace chivewharf::soak
