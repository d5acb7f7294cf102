#include "cluster.h"

#include <array>
#include <configlog/config_record.h>
#include <fstream>
#include <testing/support/soak_run.h>
#include <unistd.h>

namespace chivewharf::soak {

namespace {

// Last octets of the run's loopback addresses. Entry hosts count from 1; each has an address of its
// own at the relay.
constexpr int platform_ip = 40;
constexpr int first_upstream_ip = 50;
constexpr int first_relay_ip = 100;
constexpr int caller_port = 8080;
constexpr int peer_port = 8090;
constexpr int first_runner_port = 8101;
constexpr int control_port = 8100;
constexpr std::array<int, 6> runner_counts{9, 8, 9, 8, 8, 8}; // index: domain * 2 + service

std::string digest(const std::string& token)
{
    const runtime::gfree_ptr<char> text{
        g_compute_checksum_for_string(G_CHECKSUM_SHA256, token.c_str(), -1)};
    return text.get();
}

std::string entry_name(int entry)
{
    return "entry-" + std::to_string(entry + 1);
}

std::string endpoint(const std::string& address, int port)
{
    return address + ':' + std::to_string(port);
}

} // namespace

cluster::cluster(std::string bin, std::string folder)
    : bin_{std::move(bin)}, folder_{std::move(folder)}, processes_{folder_}, http_{{4096, 4096, 4}}
{
    network_prefix_ = testing_support::loopback_prefix();
    platform_.name = "platform";
    platform_.command = {bin_ + "/standin_platform", "--listen", endpoint(ip(platform_ip), 8091)};
    for (int process = 0; process < 6; ++process) {
        const std::string prefix = std::string{domain_names[process / 2]} + '-' +
                                   (process % 2 == 0 ? "plug" : "dial") + '-';
        const auto address = ip(first_upstream_ip + process);
        child one;
        one.name = prefix + "runners";
        one.command = {bin_ + "/standin_upstream",
                       "--address",
                       address,
                       "--first-port",
                       std::to_string(first_runner_port),
                       "--count",
                       std::to_string(runner_counts[process]),
                       "--names",
                       prefix,
                       "--speeds",
                       "1,2,3,4",
                       "--control",
                       endpoint(address, control_port)};
        upstreams_.push_back(std::move(one));
        for (int i = 0; i < runner_counts[process]; ++i)
            runners_.push_back({prefix + std::to_string(i + 1), process / 2, process % 2, process,
                                endpoint(address, first_runner_port + i)});
    }
    add_routes();
    std::ofstream{folder_ + "/base.json"} << base_settings().dump(1);
    for (int i = 0; i < entry_count; ++i) {
        const auto stem = folder_ + '/' + entry_name(i);
        const json host{{"site", "site-" + std::to_string(i + 1)},
                        {"host",
                         {{"name", entry_name(i)},
                          {"domain", domain_names[entry_domain[i]]},
                          {"caller_address", endpoint(ip(i + 1), caller_port)},
                          {"peer_address", endpoint(ip(i + 1), peer_port)},
                          {"peer_key", "soak-peer-key-0123456789"},
                          {"log_directory", folder_},
                          {"drain_notice_ms", drain_notice_ms}}}};
        std::ofstream{stem + ".host.json"} << host.dump(1);
        std::ofstream{stem + ".overlay.json"} << overlay(i).dump(1);
        child one;
        one.name = entry_name(i);
        one.command = {bin_ + "/chivewharfd",  "--host",    stem + ".host.json",   "--settings",
                       folder_ + "/base.json", "--overlay", stem + ".overlay.json"};
        entries_.push_back(std::move(one));
    }
}

cluster::~cluster()
{
    for (auto* group : {&entries_, &upstreams_}) {
        for (auto& one : *group)
            process_group::end(one);
    }
    process_group::end(platform_);
}

void cluster::add_routes()
{
    for (int i = 0; i < entry_count; ++i) {
        const auto relay_ip = ip(first_relay_ip + i);
        relay_.add({i, target_kind::platform, 0}, endpoint(relay_ip, 9000),
                   endpoint(ip(platform_ip), 8091));
        for (int j = 0; j < entry_count; ++j) {
            if (j != i)
                relay_.add({i, target_kind::peer, j}, endpoint(relay_ip, 9100 + j),
                           endpoint(ip(j + 1), peer_port));
        }
        for (int r = 0; r < static_cast<int>(runners_.size()); ++r) {
            if (runners_[r].domain == entry_domain[i])
                relay_.add({i, target_kind::runner, r}, endpoint(relay_ip, 9200 + r),
                           runners_[r].address);
        }
    }
}

json cluster::base_settings() const
{
    json base{{"key_domains", domain_names},
              {"callers", {{"max_connections", 2000}}},
              {"policy",
               {{"id_lifetime_ms", id_lifetime_ms},
                {"answer_keep_ms", id_lifetime_ms * 2 / 3},
                {"lease_ms", lease_ms},
                {"lease_renew_ms", lease_ms / 3},
                {"claim_margin_ms", 200},
                {"promise_ms", 1500},
                {"promise_renew_ms", 500},
                {"unreadable_log_limit_ms", 60000},
                {"new_seat_wait_ms", 90000},
                {"eject_first_ms", 1000},
                {"eject_longest_ms", 4000}}},
              {"services",
               {{{"name", "plugdesk"}, {"idempotent", false}, {"max_deadline_ms", 6000}},
                {{"name", "dialler-core"}, {"idempotent", true}, {"max_deadline_ms", 6000}}}},
              {"operators", {{{"name", "ops"}, {"token_sha256", digest(operator_token)}}}}};
    for (const auto* name : domain_names)
        base["domains"].push_back({{"name", name}, {"region", "soak"}});
    for (const auto* name : customer_names)
        base["customers"].push_back({{"name", name},
                                     {"token_sha256", digest(std::string{name} + "-token")},
                                     {"weight", 1 + version_ % 5},
                                     {"rate", 100000},
                                     {"burst", 100000}});
    return base;
}

json cluster::overlay(int entry) const
{
    // Each entry host is a separate site because it reaches the others at relay addresses of its
    // own.
    const auto relay_ip = ip(first_relay_ip + entry);
    json out{{"site", "site-" + std::to_string(entry + 1)},
             {"platform", {{"address", endpoint(relay_ip, 9000)}}}};
    for (int j = 0; j < entry_count; ++j) {
        const auto address =
            j == entry ? endpoint(ip(j + 1), peer_port) : endpoint(relay_ip, 9100 + j);
        out["entry_hosts"].push_back({{"name", entry_name(j)},
                                      {"domain", domain_names[entry_domain[j]]},
                                      {"peer_address", address},
                                      {"weight", 1 + j % 2}});
    }
    for (int r = 0; r < static_cast<int>(runners_.size()); ++r) {
        const auto& one = runners_[r];
        const auto address =
            one.domain == entry_domain[entry] ? endpoint(relay_ip, 9200 + r) : one.address;
        out["upstreams"].push_back({{"name", one.name},
                                    {"address", address},
                                    {"domain", domain_names[one.domain]},
                                    {"service", one.service == 0 ? "plugdesk" : "dialler-core"},
                                    {"slots", 8},
                                    {"connections", 60}});
    }
    return out;
}

std::string cluster::next_record()
{
    ++version_;
    configlog::config_record record;
    record.record_id = "soak-" + std::to_string(version_);
    record.version = version_;
    record.based_on = version_ - 1;
    record.author = "soak";
    record.settings = base_settings();
    record.overlays = json::object();
    for (int i = 0; i < entry_count; ++i)
        record.overlays["site-" + std::to_string(i + 1)] = overlay(i);
    return configlog::encode(record);
}

json cluster::host_list(const std::vector<std::string>& leaving) const
{
    auto hosts = json::array();
    for (const auto& one : runners_) {
        const bool leaves = std::find(leaving.begin(), leaving.end(), one.name) != leaving.end();
        hosts.push_back({{"name", one.name},
                         {"domain", domain_names[one.domain]},
                         {"role", "worker"},
                         {"address", one.address},
                         {"state", leaves ? "leaving" : "live"}});
    }
    for (int i = 0; i < entry_count; ++i)
        hosts.push_back({{"name", entry_name(i)},
                         {"domain", domain_names[entry_domain[i]]},
                         {"role", "entry"},
                         {"address", endpoint(ip(i + 1), peer_port)},
                         {"state", "live"}});
    return hosts;
}

void cluster::start_standins()
{
    processes_.start(platform_);
    for (auto& upstream : upstreams_)
        processes_.start(upstream);
}

void cluster::start_entries()
{
    for (auto& entry : entries_)
        processes_.start(entry);
}

std::string cluster::caller_url(int entry) const
{
    return "http://" + endpoint(ip(entry + 1), caller_port);
}

std::string cluster::platform_url() const
{
    return "http://" + endpoint(ip(platform_ip), 8091);
}

std::string cluster::upstream_url(int process) const
{
    return "http://" + endpoint(ip(first_upstream_ip + process), control_port);
}

std::pair<long, long> cluster::memory() const
{
    long sum = 0;
    long max_resident = 0;
    for (const auto& one : entries_) {
        std::ifstream status{"/proc/" + std::to_string(one.pid()) + "/statm"};
        long total = 0;
        long resident = 0;
        status >> total >> resident;
        resident *= sysconf(_SC_PAGESIZE) / 1024;
        sum += resident;
        max_resident = std::max(max_resident, resident);
    }
    return {sum, max_resident};
}

void cluster::request_json(const std::string& method, const std::string& url, std::string body,
                           std::function<void(json)> done, const std::string& token)
{
    runtime::http_call call;
    call.method = method;
    call.url = url;
    call.body = std::move(body);
    call.timeout = seconds{5};
    call.max_response_bytes = std::size_t{64} * 1024 * 1024;
    if (!token.empty())
        call.headers.push_back({"Authorization", "Bearer " + token});
    http_.send(std::move(call), [done = std::move(done)](runtime::call_result result) {
        done(result.outcome == runtime::call_outcome::answered
                 ? json::parse(result.body, nullptr, false)
                 : json(json::value_t::discarded));
    });
}

} // namespace chivewharf::soak
