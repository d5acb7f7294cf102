// Soak of the hosts on the platform's protocol. The entry hosts are processes; the store, the
// workers, the callers and a relay between them run in this process. Faults, or planned work in the
// form `planned`, overlap and come from a fixed seed.

#include "callers.h"
#include "faults.h"
#include "planned_soak.h"
#include "report.h"
#include "version_watch.h"

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
          loop_{loop}, faults_{target_cluster, run_evidence, seed + 3},
          callers_{target_cluster, run_evidence, seed + 4}, versions_{target_cluster, run_evidence}
    {
    }

    void start()
    {
        cluster_.start_hosts();
        versions_.start();
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
            versions_.check_last();
            after(answer_timeout, [this, since] {
                check_service(since);
                loop_.quit(print_report(cluster_, evidence_));
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

    cluster& cluster_;
    evidence& evidence_;
    rng random_;
    duration length_;
    runtime::main_loop& loop_;
    faults faults_;
    callers callers_;
    version_watch versions_;
    runtime::timer publish_timer_;
};

int run(int argc, char** argv)
{
    const auto options = testing_support::read_options(argc, argv,
                                                       {{"form", "faults"},
                                                        {"seed", "20261204"},
                                                        {"seconds", "40"},
                                                        {"keep", "0"},
                                                        {"bin", "build/bin"}});
    const auto& form = options.at("form");
    if (form != "faults" && form != "planned") {
        std::cerr << "unknown form " << form << '\n';
        return 2;
    }
    const auto seed = std::stoull(options.at("seed"));
    return testing_support::run_in_folder(
        seed, options.at("keep") != "0", [&](const std::string& folder, runtime::main_loop& loop) {
            evidence run_evidence;
            cluster target_cluster{options.at("bin"), folder, run_evidence, seed};
            const seconds length{std::stoi(options.at("seconds"))};
            const auto play = [&](auto scenario) {
                scenario->start();
                return loop.run();
            };
            if (form == "planned")
                return play(std::make_unique<planned_soak>(target_cluster, run_evidence, seed,
                                                           length, loop));
            return play(std::make_unique<soak>(target_cluster, run_evidence, seed, length, loop));
        });
}

} // namespace
} // namespace chivewharf::fleet_soak

int main(int argc, char** argv)
{
    return chivewharf::fleet_soak::run(argc, argv);
}
