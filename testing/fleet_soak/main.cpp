// Soak of the hosts on the platform's protocol: entry hosts as processes, the store and the workers
// in this one, a relay between them, callers, and overlapping faults from a fixed seed.

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

constexpr duration start_time = seconds{3};
constexpr duration publish_interval = seconds{2};
constexpr duration sample_interval = milliseconds{200};
/// Between the beginnings of two faults, so that two or three are active at most times.
constexpr duration shortest_gap = milliseconds{300};
constexpr duration longest_gap = milliseconds{1500};
/// After the last fault has ended, the hosts serve again within this time.
constexpr duration recovery_time = seconds{6};
constexpr duration calm_time = seconds{3};
/// Longest time that a caller waits and comes again.
constexpr duration last_answers = seconds{17};
constexpr double served_when_calm = 0.95;

class soak {
public:
    soak(cluster& all, evidence& seen, std::uint64_t seed, duration length,
         runtime::main_loop& loop)
        : all_{all}, seen_{seen}, random_{seed}, length_{length}, loop_{loop},
          faults_{all, seen, seed + 3}, callers_{all, seen, seed + 4}
    {
    }

    void start()
    {
        all_.start_hosts();
        sample_.every(sample_interval, [this] { sample_versions(); });
        after(start_time, [this] {
            callers_.start();
            publish_.every(publish_interval, [this] { all_.publish(); });
            next_fault(boot_clock::now() + length_);
        });
    }

private:
    void next_fault(time_point end)
    {
        if (boot_clock::now() >= end) {
            publish_.cancel();
            wait_for_calm();
            return;
        }
        const auto names = faults::names();
        faults_.inject(names[random_() % names.size()]);
        after(shortest_gap + uniform_duration(random_, longest_gap - shortest_gap),
              [this, end] { next_fault(end); });
    }

    void wait_for_calm()
    {
        if (faults_.active() > 0)
            after(milliseconds{100}, [this] { wait_for_calm(); });
        else
            after(recovery_time, [this] { measure_calm(); });
    }

    void measure_calm()
    {
        const auto since = boot_clock::now();
        after(calm_time, [this, since] {
            callers_.stop();
            check_versions();
            after(last_answers, [this, since] {
                check_service(since);
                report();
            });
        });
    }

    /// Of the jobs that were submitted when all was calm, and whose callers stayed, nearly all are
    /// completed.
    void check_service(time_point since)
    {
        std::size_t submitted = 0;
        std::size_t completed = 0;
        for (const auto& [id, job] : seen_.jobs) {
            if (job.submitted < since || job.left)
                continue;
            ++submitted;
            completed += job.completed ? 1 : 0;
        }
        if (submitted == 0 ||
            static_cast<double>(completed) < served_when_calm * static_cast<double>(submitted))
            seen_.violation("only " + std::to_string(completed) + " of " +
                            std::to_string(submitted) +
                            " jobs were completed after all faults had ended");
    }

    /// Reads the version that each host has in force; it never falls in a process.
    void sample_versions()
    {
        for (int host = 0; host < host_count; ++host) {
            const auto& process = all_.hosts()[static_cast<std::size_t>(host)];
            if (!process.running)
                continue;
            runtime::http_call call;
            call.method = "GET";
            call.url = all_.metrics_url(host);
            call.timeout = seconds{10};
            const std::pair which{host, process.starts};
            http_.send(std::move(call),
                       [this, which, known = versions_[which]](const runtime::call_result& got) {
                           if (got.outcome == runtime::call_outcome::answered)
                               take_sample(which, known, got.body);
                       });
        }
    }

    /// A paused host answers the questions that wait for it in any order, so a sample is compared
    /// with the version that was known when it was asked.
    void take_sample(const std::pair<int, int>& which, std::uint64_t known,
                     const std::string& metrics)
    {
        const std::string name = "\nchivewharf_config_version ";
        const auto found = metrics.find(name);
        if (found == std::string::npos)
            return;
        const auto version = std::stoull(metrics.substr(found + name.size()));
        if (version < known)
            seen_.violation("host " + std::to_string(which.first) +
                            " went back from configuration " + std::to_string(known) + " to " +
                            std::to_string(version));
        auto& greatest = versions_[which];
        greatest = std::max<std::uint64_t>(greatest, version);
    }

    void check_versions()
    {
        for (int host = 0; host < host_count; ++host) {
            const auto& process = all_.hosts()[static_cast<std::size_t>(host)];
            const auto version = versions_[{host, process.starts}];
            if (version != all_.version())
                seen_.violation("host " + std::to_string(host) + " has configuration " +
                                std::to_string(version) + " instead of " +
                                std::to_string(all_.version()));
        }
    }

    void report()
    {
        std::cout << "jobs " << seen_.jobs.size() << ", tasks started " << seen_.starts
                  << ", versions " << all_.version() << "\nfaults:";
        for (const auto& [name, count] : seen_.faults)
            std::cout << "\n  " << name << ' ' << count;
        std::cout << "\nattempts:";
        for (const auto& [name, count] : seen_.outcomes)
            std::cout << "\n  " << name << ' ' << count;
        std::cout << '\n';
        for (const auto& one : all_.processes().unexpected_exits())
            seen_.violation(one);
        for (const auto& one : seen_.violations)
            std::cout << "VIOLATION " << one << '\n';
        std::cout << (seen_.violations.empty() ? "PASSED" : "FAILED") << std::endl;
        loop_.quit(seen_.violations.empty() ? 0 : 1);
    }

    cluster& all_;
    evidence& seen_;
    rng random_;
    duration length_;
    runtime::main_loop& loop_;
    faults faults_;
    callers callers_;
    runtime::http_client http_{{4096, 16, 60}};
    /// Greatest version that a host has shown, by host and start of its process.
    std::map<std::pair<int, int>, std::uint64_t> versions_;
    runtime::timer publish_;
    runtime::timer sample_;
};

int run(int argc, char** argv)
{
    const auto options = testing_support::read_options(
        argc, argv, {{"seed", "20261204"}, {"seconds", "40"}, {"keep", "0"}, {"bin", "build/bin"}});
    const auto seed = std::stoull(options.at("seed"));
    return testing_support::run_in_folder(
        seed, options.at("keep") != "0", [&](const std::string& folder, runtime::main_loop& loop) {
            evidence seen;
            cluster all{options.at("bin"), folder, seen, seed};
            soak one{all, seen, seed, seconds{std::stoi(options.at("seconds"))}, loop};
            one.start();
            return loop.run();
        });
}

} // namespace
} // namespace chivewharf::fleet_soak

int main(int argc, char** argv)
{
    return chivewharf::fleet_soak::run(argc, argv);
}
