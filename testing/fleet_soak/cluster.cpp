#include "cluster.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <testing/support/soak_run.h>

namespace chivewharf::fleet_soak {

using nlohmann::json;
using testing_support::process_group;
using testing_support::route_name;
using testing_support::target_kind;

namespace {

// Last octets of the run's loopback addresses. Entry hosts count from 1; each has an address of its
// own at the relay.
constexpr int store_machine = 40;
constexpr int first_worker_machine = 50;
constexpr int first_relay_machine = 100;
constexpr int caller_port = 8161;
constexpr int peer_port = 8166;
constexpr int ready_port = 8167;
constexpr int metrics_port = 7720;
constexpr int worker_port = 8000;
constexpr int store_port = 9000;
constexpr int first_worker_route = 9200;

const std::string host_name_prefix = "entry-";

/// Identifies the host that opened a link: the first frame contains the name of the host.
int identify_host(std::string_view first_bytes)
{
    const auto found = first_bytes.find(host_name_prefix);
    if (found == std::string_view::npos || found + host_name_prefix.size() >= first_bytes.size())
        return route_name::unknown;
    return first_bytes[found + host_name_prefix.size()] - '1';
}

} // namespace

cluster::cluster(const std::string& bin, const std::string& folder, evidence& run_evidence,
                 std::uint64_t seed)
    : relay_{identify_host}, store_{[this](const std::string& value, int host) {
          return render(value, host);
      }},
      workers_{store_, run_evidence, seed + 1}, processes_{folder}
{
    network_prefix_ = testing_support::loopback_prefix();
    for (int i = 0; i < static_cast<int>(std::size(domain_names)) * workers_per_domain; ++i)
        workers_.add("w-" + std::to_string(i), domain_names[i / workers_per_domain],
                     endpoint(first_worker_machine + i, worker_port));
    hosts_.reserve(host_count);
    for (int host = 0; host < host_count; ++host)
        add_host(host, bin, folder);
    publish();
}

cluster::~cluster()
{
    for (auto& host : hosts_)
        process_group::end(host);
}

std::string cluster::endpoint(int machine, int port) const
{
    return network_prefix_ + std::to_string(machine) + ':' + std::to_string(port);
}

std::string cluster::render(const std::string& value, int host) const
{
    auto record = json::parse(value, nullptr, false);
    if (!record.is_object() || !record.contains("slots"))
        return value;
    // Each pair of host and worker has its own address at the relay.
    const auto worker = std::stoi(record["address"].get<std::string>().substr(2));
    record["address"] = endpoint(first_relay_machine + host, first_worker_route + worker);
    return record.dump();
}

void cluster::add_host(int host, const std::string& bin, const std::string& folder)
{
    const auto machine = host + 1;
    const auto relay_machine = first_relay_machine + host;
    store_.listen(host, endpoint(store_machine, store_port + host));
    relay_.add({host, target_kind::platform, 0}, endpoint(relay_machine, store_port),
               endpoint(store_machine, store_port + host));
    relay_.add({route_name::unknown, target_kind::peer, host}, endpoint(relay_machine, peer_port),
               endpoint(machine, peer_port));
    for (int i = 0; i < static_cast<int>(workers_.size()); ++i)
        relay_.add({host, target_kind::runner, i}, endpoint(relay_machine, first_worker_route + i),
                   endpoint(first_worker_machine + i, worker_port));
    json seeds = json::array();
    for (const int seed : {0, 3, 5})
        seeds.push_back(endpoint(first_relay_machine + seed, peer_port));
    const json settings{{"host", host_name_prefix + std::to_string(machine)},
                        {"domain", domain_names[domain_of_host[host]]},
                        {"domains", domain_names},
                        {"callers", endpoint(machine, caller_port)},
                        {"readiness", endpoint(machine, ready_port)},
                        {"peers", endpoint(machine, peer_port)},
                        {"advertised", endpoint(relay_machine, peer_port)},
                        {"store", endpoint(relay_machine, store_port)},
                        {"seeds", seeds},
                        {"core_share", 0.25},
                        {"metrics_port", metrics_port}};
    auto& process = hosts_.emplace_back();
    process.name = host_name_prefix + std::to_string(machine);
    const auto file = folder + '/' + process.name + ".json";
    std::ofstream{file} << settings.dump(1);
    process.command = {bin + "/chivewharfd", "--platform"};
    process.variables = {"CHIVEWHARF_BOOT=" + file, "GSETTINGS_BACKEND=memory"};
}

void cluster::start_hosts()
{
    for (auto& host : hosts_)
        processes_.start(host);
}

void cluster::publish(const caller_config& callers)
{
    ++version_;
    json routes = json::array();
    for (int host = 0; host < host_count; ++host) {
        const auto add_route = [&](const std::string& name, const std::string& path) {
            routes.push_back(
                {{"name", name},
                 {"host", network_prefix_ + std::to_string(host + 1)},
                 {"prefix", path},
                 {"service", "desk"},
                 {"timeout_ms", to_ms(callers.route_timeout) + static_cast<std::int64_t>(version_)},
                 {"priority", 0},
                 {"max_attempts", 3},
                 {"stretch", 1.6},
                 {"target_latency_ms", 60}});
        };
        add_route("checks-" + std::to_string(host), queue_path);
        for (unsigned i = 0; i < callers.extra_routes; ++i)
            add_route("extra-" + std::to_string(i) + '-' + std::to_string(host),
                      extra_queue_path(i));
    }
    json config{{"version", version_}, {"routes", routes}, {"services", json::array()}};
    if (callers.idle_timeout)
        config["limits"] = {{"idle_timeout_ms", to_ms(*callers.idle_timeout)}};
    store_.put("keyed.op", "config", config.dump());
}

std::string cluster::extra_queue_path(unsigned number)
{
    return "/extra-" + std::to_string(number) + '/';
}

std::string cluster::caller_address(int host) const
{
    return endpoint(host + 1, caller_port);
}

std::string cluster::caller_url(int host) const
{
    return "http://" + caller_address(host) + queue_path;
}

std::string cluster::readiness_url(int host) const
{
    return "http://" + endpoint(host + 1, ready_port) + "/readiness";
}

std::string cluster::metrics_url(int host) const
{
    return "http://" + endpoint(host + 1, metrics_port) + "/metrics";
}

} // namespace chivewharf::fleet_soak
