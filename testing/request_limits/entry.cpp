#include "entry.h"

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <testing/support/soak_run.h>

namespace chivewharf::request_limits {

using nlohmann::json;

namespace {

// Last octets of the run's loopback addresses, and the ports.
constexpr int host_machine = 1;
constexpr int store_machine = 40;
constexpr int worker_machine = 50;
constexpr int caller_port = 8161;
constexpr int peer_port = 8166;
constexpr int ready_port = 8167;
constexpr int worker_port = 8000;
constexpr int store_port = 9000;

std::string process_folder(const testing_support::child& process)
{
    return "/proc/" + std::to_string(process.pid());
}

} // namespace

entry::entry(const std::string& bin, const std::string& folder, fleet_soak::evidence& run_evidence,
             std::uint64_t seed)
    : network_prefix_{testing_support::loopback_prefix()}, store_{[this](const std::string& value,
                                                                         int /*host*/) {
          auto record = json::parse(value, nullptr, false);
          if (record.is_object() && record.contains("slots"))
              record["address"] = endpoint(worker_machine, worker_port);
          return record.is_discarded() ? value : record.dump();
      }},
      workers_{store_, run_evidence, seed}, processes_{folder}
{
    workers_.add("w-0", "north", endpoint(worker_machine, worker_port));
    store_.listen(0, endpoint(store_machine, store_port));
    publish();
    const json settings{{"host", "entry-1"},
                        {"domain", "north"},
                        {"domains", {"north"}},
                        {"callers", address()},
                        {"readiness", endpoint(host_machine, ready_port)},
                        {"peers", endpoint(host_machine, peer_port)},
                        {"store", endpoint(store_machine, store_port)},
                        {"core_share", 0.25},
                        {"memory_mb", host_memory_mb}};
    const auto file = folder + "/entry-1.json";
    std::ofstream{file} << settings.dump(1);
    process_.name = "entry-1";
    process_.command = {bin + "/chivewharfd", "--platform"};
    process_.variables = {"CHIVEWHARF_BOOT=" + file, "GSETTINGS_BACKEND=memory"};
    processes_.start(process_);
}

entry::~entry()
{
    testing_support::process_group::end(process_);
}

std::string entry::endpoint(int machine, int port) const
{
    return network_prefix_ + std::to_string(machine) + ':' + std::to_string(port);
}

std::string entry::address() const
{
    return endpoint(host_machine, caller_port);
}

void entry::publish()
{
    const json route{
        {"name", "checks"},       {"host", network_prefix_ + std::to_string(host_machine)},
        {"prefix", "/checks/"},   {"service", "desk"},
        {"timeout_ms", 5000},     {"priority", 0},
        {"max_attempts", 3},      {"stretch", 1.6},
        {"target_latency_ms", 60}};
    const json limits{{"max_header_bytes", 16384},
                      {"max_body_bytes", 262144},
                      {"header_timeout_ms", 3000},
                      {"idle_timeout_ms", 15000}};
    const json config{{"version", 1},
                      {"routes", json::array({route})},
                      {"services", json::array()},
                      {"limits", limits}};
    store_.put("keyed.op", "config", config.dump());
}

std::size_t entry::peak_resident_kib() const
{
    std::ifstream status{process_folder(process_) + "/status"};
    std::string key;
    while (status >> key) {
        std::size_t kib = 0;
        if (key == "VmHWM:" && status >> kib)
            return kib;
    }
    return 0;
}

std::size_t entry::open_descriptors() const
{
    std::error_code error;
    std::size_t count = 0;
    for (auto it = std::filesystem::directory_iterator{process_folder(process_) + "/fd", error};
         !error && it != std::filesystem::directory_iterator{}; it.increment(error))
        ++count;
    return count;
}

} // namespace chivewharf::request_limits
