#pragma once

#include <base/rng.h>
#include <configlog/append_budget.h>
#include <daemon/core_loop.h>
#include <deque>
#include <memory>
#include <metrics/registry.h>
#include <nlohmann/json_fwd.hpp>
#include <runtime/http_client.h>
#include <runtime/supervisor.h>
#include <set>
#include <string>

namespace chivewharf::daemon {

/// Client of the platform: follows the two log streams, appends records within this host's part of
/// the append budget, and polls the list of hosts.
class platform_gateway final : public runtime::supervised {
public:
    /// \param address `IP:PORT` of the platform
    /// \param follow_config false if the configuration does not come from the log
    platform_gateway(core_loop& loop, metrics::registry& metrics, std::string address,
                     bool follow_config, std::uint64_t seed);
    ~platform_gateway() override;

    std::string name() const override { return "platform"; }
    result<void, runtime::runtime_error>
    start(std::function<void(runtime::runtime_error)> failed) override;
    void stop() override;

    /// Queues an append. Its outcome is reported to the core.
    void append(dispatch::append_record record);

    /// Appends that are queued or under way.
    std::size_t pending_appends() const noexcept { return queue_.size() + appending_; }

private:
    /// Follows one stream with long polls.
    struct reader {
        std::string stream;
        std::uint64_t (*offset)(dispatch::entry_host&);
        void (platform_gateway::*take)(const nlohmann::json&, std::uint64_t from,
                                       time_point asked_at);
        duration wait; ///< for which the platform may hold a read
        runtime::timer pause;
        unsigned failures = 0;
    };

    using done_function = runtime::http_client::done_function;

    void call(runtime::http_call request, done_function done);
    void read(reader& one);
    void read_ended(reader& one, std::uint64_t from, time_point asked_at,
                    runtime::call_result result);
    duration backoff(unsigned failures);
    void take_ownership(const nlohmann::json& answer, std::uint64_t from, time_point asked_at);
    void take_config(const nlohmann::json& answer, std::uint64_t from, time_point asked_at);
    void poll_hosts();
    void take_hosts(const nlohmann::json& answer);
    void apply_hosts(wall_ms as_of);
    void send_appends();
    void append_ended(const dispatch::append_record& record, const runtime::call_result& result);

    core_loop& loop_;
    std::string address_;
    bool follow_config_;
    rng random_;
    std::unique_ptr<runtime::http_client> client_;
    std::set<std::shared_ptr<runtime::http_client_call>> calls_;
    reader ownership_;
    reader config_;
    upstream::platform_list listed_workers_;
    std::vector<membership::known_host> listed_hosts_;
    std::string hosts_tag_; ///< ETag of the last list
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
