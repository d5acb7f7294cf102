#include <configlog/configlog.h>

#include <benchmark/benchmark.h>
#include <dispatch/entry_host.h>
#include <glog/logging.h>

/// Cost of handling a configuration of the design size: 120 customers, 1,700 workers and 240 entry
/// hosts.

namespace chivewharf {
namespace {

using nlohmann::json;

std::string numbered(const char* prefix, int i)
{
    return prefix + std::to_string(i);
}

std::string address(int network, int i)
{
    return "10." + std::to_string(network) + '.' + std::to_string(i / 250) + '.' +
           std::to_string(i % 250 + 1) + ":8100";
}

std::string token_digest(const std::string& token)
{
    const auto digest = sha256(token);
    return to_hex(digest.data(), digest.size());
}

json design_size_settings()
{
    json s{{"site", "design"}, {"platform", {{"address", "10.0.0.5:8091"}}}};
    s["services"] = {{{"name", "plugdesk"}, {"idempotent", false}},
                     {{"name", "dialler-core"}, {"idempotent", true}}};
    for (int i = 0; i < 5; ++i) {
        s["domains"].push_back(
            {{"name", numbered("domain-", i)}, {"region", numbered("r", i / 3)}});
        s["key_domains"].push_back(numbered("domain-", i));
    }
    for (int i = 0; i < 240; ++i)
        s["entry_hosts"].push_back({{"name", numbered("entry-", i)},
                                    {"domain", numbered("domain-", i % 5)},
                                    {"peer_address", address(1, i)}});
    for (int i = 0; i < 120; ++i)
        s["customers"].push_back({{"name", numbered("customer-", i)},
                                  {"token_sha256", token_digest(numbered("token-", i))},
                                  {"weight", 1 + i % 3},
                                  {"min_share", {{"plugdesk", 0.005}}}});
    for (int i = 0; i < 1700; ++i)
        s["upstreams"].push_back({{"name", numbered("worker-", i)},
                                  {"address", address(2, i)},
                                  {"domain", numbered("domain-", i % 5)},
                                  {"service", i % 2 == 0 ? "plugdesk" : "dialler-core"}});
    return s;
}

std::string design_size_record()
{
    return encode(configlog::config_record{"record-1", false, 1, 0, "", "ann",
                                           design_size_settings(), json::object()});
}

void parse_and_check_file(benchmark::State& state)
{
    const auto text = settings::canonical_text(design_size_settings());
    for (auto _ : state) {
        const auto document = settings::parse_text(text, "file");
        const auto parsed = settings::parse_cluster(*document);
        if (!parsed)
            state.SkipWithError(settings::to_text(parsed.error()).c_str());
        benchmark::DoNotOptimize(parsed);
    }
    state.counters["file_bytes"] = static_cast<double>(text.size());
}
BENCHMARK(parse_and_check_file)->Unit(benchmark::kMillisecond);

void apply_record_to_history(benchmark::State& state)
{
    const auto data = design_size_record();
    for (auto _ : state) {
        configlog::config_history history;
        if (history.apply(0, 0, data)->decision != configlog::verdict::in_force)
            state.SkipWithError("the record was rejected");
    }
    state.counters["record_bytes"] = static_cast<double>(data.size());
}
BENCHMARK(apply_record_to_history)->Unit(benchmark::kMillisecond);

void follow_changed_record(benchmark::State& state)
{
    auto record = *configlog::decode(design_size_record());
    configlog::config_history history;
    history.apply(0, 0, encode(record));
    configlog::config_follower follower{"design"};
    follower.on_history(history);
    record.version = 2;
    record.based_on = 1;
    const auto data = encode(record);
    for (auto _ : state) {
        auto copy = follower;
        if (!copy.offer_from_peer(data))
            state.SkipWithError("the record was refused");
    }
}
BENCHMARK(follow_changed_record)->Unit(benchmark::kMillisecond);

settings::cluster_settings parsed(const json& document)
{
    return settings::parse_cluster(settings::make_document(document, "settings")).value();
}

/// Alternates between two configurations, so that each application changes something.
void apply_in_entry_host(benchmark::State& state)
{
    auto changed = design_size_settings();
    for (auto& customer : changed["customers"])
        customer["weight"] = 5;
    for (std::size_t i = 0; i < 100; ++i)
        changed["upstreams"].erase(0);
    const settings::cluster_settings configurations[] = {parsed(design_size_settings()),
                                                         parsed(changed)};
    const dispatch::clock_reading now{time_point{seconds{1}}, 1};
    metrics::registry metrics;
    dispatch::entry_host host{{"domain-0", "entry-0", 1},
                              "10.1.0.1:8100",
                              std::make_shared<const settings::cluster_settings>(configurations[0]),
                              metrics,
                              1,
                              now.boot};
    std::int64_t version = 0;
    for (auto _ : state) {
        state.PauseTiming();
        host.take_actions();
        ++version;
        dispatch::config_change change{version, configurations[version % 2], std::nullopt, true};
        state.ResumeTiming();
        host.put_in_force(std::move(change), now);
    }
}
BENCHMARK(apply_in_entry_host)->Unit(benchmark::kMillisecond);

} // namespace
} // namespace chivewharf

int main(int argc, char** argv)
{
    FLAGS_minloglevel = google::GLOG_ERROR; // exclude writing log lines from the figures
    benchmark::Initialize(&argc, argv);
    benchmark::RunSpecifiedBenchmarks();
    return 0;
}
