// Abusive clients against one real entry host (`chivewharfd --platform`). Guards against a process
// that is killed because requests of legal size take more memory than the host has. Checks that the
// process lives, that its resident memory and its descriptors stay within bounds, and that it
// answers an ordinary request while the clients are still connected.

#include "crowd.h"
#include "entry.h"

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <runtime/http_client.h>
#include <runtime/main_loop.h>
#include <testing/support/after.h>
#include <testing/support/options.h>
#include <testing/support/soak_run.h>

namespace chivewharf::request_limits {
namespace {

using nlohmann::json;
using testing_support::after;

constexpr std::size_t max_resident_kib = host_memory_mb * 1024;
/// Descriptors for everything except the connections of the crowd.
constexpr std::size_t other_descriptors = 64;
constexpr duration sample_interval = milliseconds{20};
constexpr duration retry_interval = milliseconds{500};
constexpr duration settle_time = seconds{1};
constexpr int max_attempts = 60;
constexpr unsigned status_ok = 200;

class scenario {
public:
    scenario(entry& host, const crowd_kind& kind, fleet_soak::evidence& run_evidence,
             std::uint64_t seed, runtime::main_loop& loop)
        : host_{host}, kind_{kind}, evidence_{run_evidence}, seed_{seed}, loop_{loop}
    {
    }

    void start()
    {
        attempt([this] { send_crowd(); });
    }

private:
    /// Submits an ordinary job until it is completed, then calls `next`.
    void attempt(std::function<void()> next)
    {
        if (!host_.running() || ++attempts_ > max_attempts)
            return report("an ordinary request is not answered");
        const auto id = "ordinary-" + std::to_string(attempts_);
        evidence_.jobs[id].payload = fleet_soak::encode_work({100, 5});
        runtime::http_call call;
        call.url = host_.queue_url() + id;
        call.headers.push_back({"X-Deadline-Ms", "4000"});
        call.timeout = seconds{4};
        call.body = json{
            {"spec", evidence_.jobs[id].payload},
            {"steps", {{{"count", 1}, {"cpu", 100}, {"estimate_ms", 5}}}},
            {"best_effort",
             true}}.dump();
        http_.send(
            std::move(call), [this, next = std::move(next)](const runtime::call_result& result) {
                if (result.outcome == runtime::call_outcome::answered && result.status == status_ok)
                    next();
                else
                    after(retry_interval, [this, next] { attempt(next); });
            });
    }

    void send_crowd()
    {
        std::cout << "resident before: " << host_.peak_resident_kib() << " KiB\n";
        crowd_.emplace(kind_, host_.address(), seed_);
        sample_timer_.every(sample_interval, [this] { sample(); });
    }

    void sample()
    {
        crowd_->send();
        max_descriptors_ = std::max(max_descriptors_, host_.open_descriptors());
        peak_resident_ = std::max(peak_resident_, host_.peak_resident_kib());
        if (settling_ || (!crowd_->sent() && host_.running()))
            return;
        settling_ = true;
        after(settle_time, [this] {
            attempts_ = 0;
            attempt([this] { report({}); });
        });
    }

    void report(const std::string& violation)
    {
        sample_timer_.cancel();
        std::cout << "crowd " << kind_.name << ", clients " << kind_.clients << ", resident "
                  << peak_resident_ << " KiB of " << max_resident_kib << ", descriptors "
                  << max_descriptors_ << " of " << kind_.clients + other_descriptors << '\n';
        if (!violation.empty())
            evidence_.violation(violation);
        if (!host_.running())
            evidence_.violation("the process has ended");
        if (peak_resident_ > max_resident_kib)
            evidence_.violation("resident memory exceeds that of the host");
        if (max_descriptors_ > kind_.clients + other_descriptors)
            evidence_.violation("too many descriptors");
        for (const auto& one : evidence_.violations)
            std::cout << "VIOLATION " << one << '\n';
        std::cout << (evidence_.violations.empty() ? "PASSED" : "FAILED") << std::endl;
        loop_.quit(evidence_.violations.empty() ? 0 : 1);
    }

    entry& host_;
    const crowd_kind& kind_;
    fleet_soak::evidence& evidence_;
    std::uint64_t seed_;
    runtime::main_loop& loop_;
    std::optional<crowd> crowd_;
    runtime::http_client http_{{16, 16, 60}};
    runtime::timer sample_timer_;
    std::size_t peak_resident_ = 0;
    std::size_t max_descriptors_ = 0;
    int attempts_ = 0;
    bool settling_ = false;
};

int run(int argc, char** argv)
{
    const auto options = testing_support::read_options(
        argc, argv,
        {{"seed", "20261204"}, {"crowd", "header_lines"}, {"keep", "0"}, {"bin", "build/bin"}});
    const auto* kind = find_crowd(options.at("crowd"));
    if (kind == nullptr) {
        std::cerr << "unknown crowd\n";
        return 2;
    }
    const auto seed = std::stoull(options.at("seed"));
    return testing_support::run_in_folder(
        seed, options.at("keep") != "0", [&](const std::string& folder, runtime::main_loop& loop) {
            fleet_soak::evidence run_evidence;
            entry host{options.at("bin"), folder, run_evidence, seed};
            scenario run_scenario{host, *kind, run_evidence, seed, loop};
            run_scenario.start();
            return loop.run();
        });
}

} // namespace
} // namespace chivewharf::request_limits

int main(int argc, char** argv)
{
    return chivewharf::request_limits::run(argc, argv);
}
