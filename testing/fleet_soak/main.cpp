// Soak of the hosts on the platform's protocol. The entry hosts are processes; the store, the
// workers, the callers and a relay between them run in this process. Faults overlap and come from a
// fixed seed.

#include "callers.h"
#include "faults.h"

#include <iostream>
#include <runtime/main_loop.h>
#include <testing/support/after.h>
#include <testing/support/options.h>
#include <testing/support/soak_run.h>

namespace chivewharf::fleet_soak {
namespace {

using testing_support::after;

constexpr duration start_up_time = seconds{3};
constexpr duration publish_interval = seconds{2};
constexpr duration sample_interval = milliseconds{200};
/// Time between the starts of two faults; with these bounds, two or three are usually active.
constexpr duration min_fault_interval = milliseconds{300};
constexpr duration max_fault_interval = milliseconds{1500};
/// The hosts must serve normally again this long after the end of the last fault.
constexpr duration recovery_time = seconds{6};
constexpr duration measured_time = seconds{3};
/// Time after the last submission within which every caller has the answer to its last attempt.
constexpr duration answer_timeout = seconds{17};
constexpr double min_completed_share = 0.95;

class soak {
public:
    soak(cluster& target_cluster, evidence& run_evidence, std::uint64_t seed, duration length,
         runtime::main_loop& loop)
        : cluster_{target_cluster}, evidence_{run_evidence}, random_{seed}, length_{length},
          loop_{loop}, faults_{target_cluster, run_evidence, seed + 3}, callers_{target_cluster,
                                                                                 run_evidence,
                                                                                 seed + 4}
    {
    }

    void start()
    {
        cluster_.start_hosts();
        sample_timer_.every(sample_interval, [this] { sample_versions(); });
        after(start_up_time, [this] {
            callers_.start();
            publish_timer_.every(publish_interval, [this] { cluster_.publish(); });
            next_fault(boot_clock::now() + length_);
        });
    }

private:
    void next_fault(time_point end)
    {
        if (boot_clock::now() >= end) {
            publish_timer_.cancel();
            wait_for_faults_to_end();
            return;
        }
        const auto names = faults::names();
        faults_.inject(names[random_() % names.size()]);
        after(min_fault_interval +
                  uniform_duration(random_, max_fault_interval - min_fault_interval),
              [this, end] { next_fault(end); });
    }

    void wait_for_faults_to_end()
    {
        if (faults_.active() > 0)
            after(milliseconds{100}, [this] { wait_for_faults_to_end(); });
        else
            after(recovery_time, [this] { measure_service(); });
    }

    void measure_service()
    {
        const auto since = boot_clock::now();
        after(measured_time, [this, since] {
            callers_.stop();
            check_versions();
            after(answer_timeout, [this, since] {
                check_service(since);
                report();
            });
        });
    }

    /// Checks that nearly all jobs submitted after the recovery were completed, except those that
    /// their caller cancelled.
    void check_service(time_point since)
    {
        std::size_t submitted = 0;
        std::size_t completed = 0;
        for (const auto& [id, job] : evidence_.jobs) {
            if (job.submitted < since || job.left)
                continue;
            ++submitted;
            completed += job.completed ? 1 : 0;
        }
        if (submitted == 0 ||
            static_cast<double>(completed) < min_completed_share * static_cast<double>(submitted))
            evidence_.violation("only " + std::to_string(completed) + " of " +
                                std::to_string(submitted) +
                                " jobs were completed after all faults had ended");
    }

    /// Reads the configuration version that each host has in force. It must not decrease while the
    /// process runs.
    void sample_versions()
    {
        for (int host = 0; host < host_count; ++host) {
            const auto& process = cluster_.hosts()[static_cast<std::size_t>(host)];
            if (!process.running)
                continue;
            runtime::http_call call;
            call.method = "GET";
            call.url = cluster_.metrics_url(host);
            call.timeout = seconds{10};
            const std::pair incarnation{host, process.starts};
            http_.send(std::move(call), [this, incarnation, known_version = versions_[incarnation]](
                                            const runtime::call_result& result) {
                if (result.outcome == runtime::call_outcome::answered)
                    check_sample(incarnation, known_version, result.body);
            });
        }
    }

    /// Compares a sample with the version that was known when the request was sent, because
    /// a host that was paused may answer the pending requests in any order.
    void check_sample(const std::pair<int, int>& incarnation, std::uint64_t known_version,
                      const std::string& metrics)
    {
        const std::string metric = "\nchivewharf_config_version ";
        const auto found = metrics.find(metric);
        if (found == std::string::npos)
            return;
        const auto version = std::stoull(metrics.substr(found + metric.size()));
        if (version < known_version)
            evidence_.violation("host " + std::to_string(incarnation.first) +
                                " went back from configuration " + std::to_string(known_version) +
                                " to " + std::to_string(version));
        auto& max_version = versions_[incarnation];
        max_version = std::max<std::uint64_t>(max_version, version);
    }

    /// Checks that every host has the last published version in force.
    void check_versions()
    {
        for (int host = 0; host < host_count; ++host) {
            const auto& process = cluster_.hosts()[static_cast<std::size_t>(host)];
            const auto version = versions_[{host, process.starts}];
            if (version != cluster_.version())
                evidence_.violation("host " + std::to_string(host) + " has configuration " +
                                    std::to_string(version) + " instead of " +
                                    std::to_string(cluster_.version()));
        }
    }

    void report()
    {
        std::cout << "jobs " << evidence_.jobs.size() << ", tasks started " << evidence_.starts
                  << ", versions " << cluster_.version() << "\nfaults:";
        for (const auto& [name, count] : evidence_.faults)
            std::cout << "\n  " << name << ' ' << count;
        std::cout << "\nattempts:";
        for (const auto& [name, count] : evidence_.outcomes)
            std::cout << "\n  " << name << ' ' << count;
        std::cout << '\n';
        for (const auto& one : cluster_.processes().unexpected_exits())
            evidence_.violation(one);
        for (const auto& one : evidence_.violations)
            std::cout << "VIOLATION " << one << '\n';
        std::cout << (evidence_.violations.empty() ? "PASSED" : "FAILED") << std::endl;
        loop_.quit(evidence_.violations.empty() ? 0 : 1);
    }

    cluster& cluster_;
    evidence& evidence_;
    rng random_;
    duration length_;
    runtime::main_loop& loop_;
    faults faults_;
    callers callers_;
    runtime::http_client http_{{4096, 16, 60}};
    /// Highest version that a host has reported, by host number and number of process starts.
    std::map<std::pair<int, int>, std::uint64_t> versions_;
    runtime::timer publish_timer_;
    runtime::timer sample_timer_;
};

int run(int argc, char** argv)
{
    const auto options = testing_support::read_options(
        argc, argv, {{"seed", "20261204"}, {"seconds", "40"}, {"keep", "0"}, {"bin", "build/bin"}});
    const auto seed = std::stoull(options.at("seed"));
    return testing_support::run_in_folder(
        seed, options.at("keep") != "0", [&](const std::string& folder, runtime::main_loop& loop) {
            evidence run_evidence;
            cluster target_cluster{options.at("bin"), folder, run_evidence, seed};
            soak scenario{target_cluster, run_evidence, seed,
                          seconds{std::stoi(options.at("seconds"))}, loop};
            scenario.start();
            return loop.run();
        });
}

} // namespace
} // namespace chivewharf::fleet_soak

int main(int argc, char** argv)
{
    return chivewharf::fleet_soak::run(argc, argv);
}
