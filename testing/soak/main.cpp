// Soak of the whole path from callers to runners. Entry hosts, runners and platform are processes
// on loopback addresses; the callers and a relay between the processes run in this one. Faults come
// from a fixed seed. See README.md.

#include "faults.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <runtime/main_loop.h>
#include <testing/support/after.h>
#include <testing/support/options.h>
#include <testing/support/soak_run.h>

namespace chivewharf::soak {

using testing_support::after;

namespace {

constexpr duration start_timeout = seconds{60};
constexpr duration recovery_pause = milliseconds{400};
constexpr duration publish_interval = seconds{4};
constexpr duration sample_interval = milliseconds{250};
constexpr int total_slots = 3 * 64;

struct run_options {
    std::uint64_t seed;
    int rounds;  ///< rounds of all faults, one at a time
    int pairs;   ///< pairs of faults after each round
    int callers; ///< number of simulated callers
    double run_time_scale;
    std::string only;      ///< names of the faults to inject; empty for all
    std::string falsified; ///< name for falsify(); empty for a normal run
    std::string folder;
};

class soak {
public:
    soak(cluster& target_cluster, run_options options, runtime::main_loop& loop)
        : cluster_{target_cluster}, options_{std::move(options)}, loop_{loop},
          random_{options_.seed}, faults_{target_cluster, evidence_, options_.seed + 1},
          callers_{target_cluster, options_.seed + 2, options_.callers, options_.run_time_scale}
    {
        evidence_.records = &callers_.records();
    }

    void start()
    {
        cluster_.start_standins();
        plan();
        started_at_ = boot_clock::now();
        wait_for_platform();
    }

private:
    void plan()
    {
        for (int round = 0; round < options_.rounds; ++round) {
            auto names = faults_.names();
            if (!options_.only.empty())
                std::erase_if(names, [&](const auto& one) {
                    return options_.only.find(one) == std::string::npos;
                });
            std::shuffle(names.begin(), names.end(), random_);
            for (const auto& name : names)
                steps_.push_back({name});
            for (int pair = 0; pair < options_.pairs && names.size() > 1; ++pair) {
                std::shuffle(names.begin(), names.end(), random_);
                steps_.push_back({names[0], names[1]});
            }
        }
    }

    void abort_run(const std::string& reason)
    {
        std::cerr << reason << '\n';
        for (const auto& one : cluster_.unexpected_exits())
            std::cerr << one << '\n';
        loop_.quit(2);
    }

    void wait_for_platform()
    {
        cluster_.request_json("POST", cluster_.platform_url() + "/control",
                              json{{"hosts", cluster_.host_list({})}}.dump(),
                              [this](const json& answer) {
                                  if (answer.is_object()) {
                                      publish();
                                      cluster_.start_entries();
                                      wait_for_slot_ownership();
                                  }
                                  else if (boot_clock::now() - started_at_ < start_timeout) {
                                      after(milliseconds{50}, [this] { wait_for_platform(); });
                                  }
                                  else {
                                      abort_run("the platform stand-in did not start");
                                  }
                              });
    }

    /// Requests the status of every entry host and records its configuration version. Calls `done`
    /// with the number of ready hosts and the sum of the slots that the hosts own.
    void poll_entry_status(const std::function<void(int ready, int slots)>& done)
    {
        struct counts {
            int left = entry_count;
            int ready = 0;
            int slots = 0;
        };
        const auto sum = std::make_shared<counts>();
        for (int i = 0; i < entry_count; ++i) {
            const auto asked = wall_now_ms();
            cluster_.request_json(
                "GET", cluster_.caller_url(i) + "/v1/admin/status", "",
                [this, i, asked, sum, done](const json& status) {
                    if (status.is_object() && status.contains("version")) {
                        const auto version = status["version"].get<std::int64_t>();
                        evidence_.versions.push_back({i, asked, wall_now_ms(), version});
                        sum->ready += version > 0 && !status["draining"].get<bool>() ? 1 : 0;
                        sum->slots += status["owned_slots"].get<int>();
                    }
                    if (--sum->left == 0)
                        done(sum->ready, sum->slots);
                },
                operator_token);
        }
    }

    void wait_for_slot_ownership()
    {
        poll_entry_status([this](int ready, int slots) {
            if (ready == entry_count && slots == total_slots) {
                std::cout << "started processes=" << cluster_.process_count()
                          << " after_ms=" << to_ms(boot_clock::now() - started_at_) << std::endl;
                callers_.start();
                publish_timer_.every(publish_interval, [this] { publish(); });
                sample_timer_.every(sample_interval,
                                    [this] { poll_entry_status([](int, int) {}); });
                memory_timer_.every(seconds{1}, [this] {
                    const auto [sum, max_resident] = cluster_.memory();
                    max_memory_sum_ = std::max(max_memory_sum_, sum);
                    max_process_memory_ = std::max(max_process_memory_, max_resident);
                });
                after(seconds{2}, [this] { next_step(); });
            }
            else if (boot_clock::now() - started_at_ < start_timeout) {
                after(milliseconds{100}, [this] { wait_for_slot_ownership(); });
            }
            else {
                abort_run("not ready in time: hosts " + std::to_string(ready) + ", slots " +
                          std::to_string(slots));
            }
        });
    }

    /// Appends the next configuration version to the log, or the previous record again if its
    /// answer was lost.
    void publish()
    {
        if (publishing_)
            return;
        publishing_ = true;
        if (pending_record_.empty())
            pending_record_ = cluster_.next_record();
        cluster_.request_json(
            "POST", cluster_.platform_url() + "/log/configuration", pending_record_,
            [this](const json& answer) {
                publishing_ = false;
                if (!answer.is_object() || !answer.contains("offset"))
                    return;
                evidence_.publications.push_back({cluster_.version(), wall_now_ms()});
                pending_record_.clear();
            });
    }

    void next_step()
    {
        if (next_step_ == steps_.size()) {
            finish();
            return;
        }
        const auto names = steps_[next_step_++];
        active_faults_ = names.size();
        for (const auto& name : names)
            faults_.inject(name, [this] {
                if (--active_faults_ == 0)
                    wait_for_recovery(boot_clock::now());
            });
    }

    void wait_for_recovery(time_point since)
    {
        poll_entry_status([this, since](int ready, int) {
            if (ready == entry_count) {
                after(recovery_pause, [this] { next_step(); });
                return;
            }
            if (boot_clock::now() - since > start_timeout)
                abort_run("the entry hosts did not recover");
            else
                after(milliseconds{100}, [this, since] { wait_for_recovery(since); });
        });
    }

    void finish()
    {
        publish_timer_.cancel();
        callers_.finish([this] { check_last_version(boot_clock::now()); });
    }

    void check_last_version(time_point since)
    {
        poll_entry_status([this, since](int, int) {
            const auto last_version = evidence_.publications.back().version;
            std::set<int> current;
            for (const auto& one : evidence_.versions) {
                if (one.version >= last_version)
                    current.insert(one.entry);
            }
            if (current.size() == entry_count) {
                read_counters(0);
                return;
            }
            if (boot_clock::now() - since < seconds{10}) {
                after(milliseconds{200}, [this, since] { check_last_version(since); });
                return;
            }
            evidence_.observed.push_back(
                {8, "the last version is not in force everywhere", wall_now_ms(), wall_now_ms()});
            read_counters(0);
        });
    }

    /// Reads each daemon's own counters of promise violations.
    void read_counters(int entry)
    {
        if (entry == entry_count) {
            sample_timer_.cancel();
            read_ledger(0);
            return;
        }
        runtime::http_call call;
        call.method = "GET";
        call.url = cluster_.caller_url(entry) + "/metrics";
        call.timeout = seconds{5};
        call.headers = {{"Authorization", std::string{"Bearer "} + operator_token}};
        cluster_.http().send(std::move(call), [this, entry](runtime::call_result result) {
            std::istringstream lines{result.body};
            for (std::string line; std::getline(lines, line);) {
                const auto promise = line.find("promise_violations_total{promise=\"P");
                if (promise == std::string::npos || line.ends_with(" 0"))
                    continue;
                const int number = line[line.find("\"P") + 2] - '0';
                evidence_.observed.push_back({number,
                                              cluster_.entries()[entry].name + " counted: " + line,
                                              0, wall_now_ms()});
            }
            read_counters(entry + 1);
        });
    }

    void read_ledger(int process)
    {
        if (process == static_cast<int>(cluster_.upstreams().size())) {
            save_ownership(0);
            return;
        }
        cluster_.request_json("GET", cluster_.upstream_url(process) + "/ledger", "",
                              [this, process](const json& starts) {
                                  if (!starts.is_object()) {
                                      abort_run("no ledger from an upstream process");
                                      return;
                                  }
                                  for (const auto& [task, one] : starts.items()) {
                                      auto& entry = evidence_.ledger[task];
                                      entry.count += one[0].get<std::uint64_t>();
                                      const auto first = one[1].get<wall_ms>();
                                      entry.first =
                                          entry.first == 0 ? first : std::min(entry.first, first);
                                      entry.last = std::max(entry.last, one[2].get<wall_ms>());
                                      entry.where += one[3].get<std::string>();
                                  }
                                  read_ledger(process + 1);
                              });
    }

    /// Saves the ownership records with the logs, to trace the cause of a repeated start.
    void save_ownership(int domain)
    {
        if (domain == 3) {
            report();
            return;
        }
        const auto stream = std::string{"ownership."} + domain_names[domain];
        cluster_.request_json(
            "GET", cluster_.platform_url() + "/log/" + stream + "?from=0&limit=100000", "",
            [this, domain, stream](const json& log) {
                std::ofstream out{options_.folder + '/' + stream};
                for (const auto& one : log.value("records", json::array()))
                    out << one["time_ms"] << ' ' << one["data"].get<std::string>() << '\n';
                save_ownership(domain + 1);
            });
    }

    void report()
    {
        if (!options_.falsified.empty() && !falsify(options_.falsified, evidence_)) {
            abort_run("unknown or impossible --break " + options_.falsified);
            return;
        }
        const auto broken = check_promises(evidence_);
        std::cout << "\nseed " << options_.seed << '\n';
        print_report(evidence_, broken);
        std::cout << "processes " << cluster_.process_count()
                  << ", entry hosts' resident memory: " << max_memory_sum_ / 1024
                  << " MiB together, " << max_process_memory_ / 1024 << " MiB at most\nrun time "
                  << to_ms(boot_clock::now() - started_at_) / 1000 << " s\n";
        for (const auto& one : cluster_.unexpected_exits())
            std::cout << "UNEXPECTED EXIT " << one << '\n';
        const bool good = broken.empty() && cluster_.unexpected_exits().empty();
        std::cout << (good ? "PASSED" : "FAILED") << std::endl;
        loop_.quit(good ? 0 : 1);
    }

    cluster& cluster_;
    run_options options_;
    runtime::main_loop& loop_;
    rng random_;
    evidence evidence_;
    faults faults_;
    callers callers_;
    std::vector<std::vector<std::string>> steps_;
    std::size_t next_step_ = 0;
    std::size_t active_faults_ = 0;
    time_point started_at_;
    std::string pending_record_;
    bool publishing_ = false;
    long max_memory_sum_ = 0;
    long max_process_memory_ = 0;
    runtime::timer publish_timer_;
    runtime::timer sample_timer_;
    runtime::timer memory_timer_;
};

int run(int argc, char** argv)
{
    const auto options = testing_support::read_options(argc, argv,
                                                       {{"form", "short"},
                                                        {"seed", "20261204"},
                                                        {"rounds", ""},
                                                        {"only", ""},
                                                        {"break", ""},
                                                        {"keep", "0"},
                                                        {"bin", "build/bin"}});
    const bool is_long = options.at("form") == "long";
    run_options settings{std::stoull(options.at("seed")),
                         is_long ? 3 : 1,
                         is_long ? 8 : 2,
                         is_long ? 60 : 40,
                         is_long ? 0.4 : 0.25,
                         options.at("only"),
                         options.at("break"),
                         {}};
    if (!options.at("rounds").empty())
        settings.rounds = std::stoi(options.at("rounds"));
    return testing_support::run_in_folder(settings.seed, options.at("keep") != "0",
                                          [&](const std::string& folder, runtime::main_loop& loop) {
                                              settings.folder = folder;
                                              cluster target_cluster{options.at("bin"), folder};
                                              soak scenario{target_cluster, settings, loop};
                                              scenario.start();
                                              return loop.run();
                                          });
}

} // namespace
} // namespace chivewharf::soak

int main(int argc, char** argv)
{
    return chivewharf::soak::run(argc, argv);
}
