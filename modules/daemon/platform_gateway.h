#pragma once

#include <base/rng.h>
#include <configlog/append_budget.h>
#include <daemon/core_loop.h>
#include <daemon/host_list.h>
#include <deque>
#include <memory>
#include <metrics/registry.h>
#include <nlohmann/json_fwd.hpp>
#include <runtime/http_client.h>
#include <runtime/supervisor.h>
#include <set>
#include <string>

namespace chivewharf::daemon {

/// Client of the platform: follows the two log streams, appends records within this host's share of
/// the append budget, and polls the list of hosts.
class platform_gateway final : public runtime::supervised {
public:
    /// \param address `IP:PORT` of the platform
    /// \param follow_config whether to read the configuration from the log
    platform_gateway(core_loop& loop, metrics::registry& metrics, std::string address,
                     bool follow_config, std::uint64_t seed);
    ~platform_gateway() override;

    std::string name() const override { return "platform"; }
    result<void, runtime::runtime_error>
    start(std::function<void(runtime::runtime_error)> failed) override;
    void stop() override;

    /// Queues a record for the log. The outcome is reported to the core.
    void append(dispatch::append_record record);

    /// Number of appends that are queued or in flight.
    std::size_t pending_appends() const noexcept { return queue_.size() + appending_; }

private:
    /// Follows one log stream with long polls.
    struct stream_reader {
        std::string stream;
        std::uint64_t (*next_offset)(dispatch::entry_host&);
        void (platform_gateway::*handle_records)(const nlohmann::json&, std::uint64_t from,
                                                 time_point asked_at);
        duration wait; ///< how long the platform may hold a read that finds no new records
        runtime::timer next_read;
        unsigned failures = 0;
    };

    using done_function = runtime::http_client::done_function;

    void send(runtime::http_call request, done_function done);
    void read(stream_reader& reader);
    void read_ended(stream_reader& reader, std::uint64_t from, time_point asked_at,
                    runtime::call_result result);
    duration backoff(unsigned failures);
    void handle_ownership_records(const nlohmann::json& response, std::uint64_t from,
                                  time_point asked_at);
    void handle_config_records(const nlohmann::json& response, std::uint64_t from,
                               time_point asked_at);
    void poll_hosts();
    void handle_host_list(const host_list& list);
    void report_hosts(wall_ms as_of);
    void send_appends();
    void append_ended(const dispatch::append_record& record, const runtime::call_result& result);

    core_loop& loop_;
    std::string address_;
    bool follow_config_;
    rng random_;
    std::unique_ptr<runtime::http_client> client_;
    std::set<std::shared_ptr<runtime::http_client_call>> calls_;
    stream_reader ownership_;
    stream_reader config_;
    upstream::platform_list listed_workers_;
    std::vector<membership::known_host> listed_hosts_;
    std::string hosts_etag_; ///< ETag of the last list of hosts
    runtime::timer hosts_timer_;
    runtime::timer append_timer_;
    std::deque<dispatch::append_record> queue_;
    configlog::append_budget budget_;
    std::size_t appending_ = 0;
    bool polling_hosts_ = false;
    std::uint64_t& reads_;
    std::uint64_t& read_failures_;
    std::uint64_t& appends_;
    std::uint64_t& appends_unknown_;
    std::uint64_t& host_polls_;
    std::uint64_t& host_poll_failures_;
};

} // namespace chivewharf::daemon
