#include "planned_soak.h"

#include "report.h"

#include <testing/support/after.h>

namespace chivewharf::fleet_soak {

using testing_support::after;

namespace {

constexpr duration start_up_time = seconds{3};
constexpr duration min_work_interval = milliseconds{800};
constexpr duration max_work_interval = milliseconds{3500};
/// Time after the last planned work for which callers go on.
constexpr duration settle_time = seconds{3};
/// Time after the last request within which every caller has its response.
constexpr duration answer_timeout = seconds{5};

} // namespace

planned_soak::planned_soak(cluster& target_cluster, evidence& run_evidence, std::uint64_t seed,
                           duration length, runtime::main_loop& loop)
    : cluster_{target_cluster}, evidence_{run_evidence}, random_{seed}, length_{length},
      loop_{loop}, balancer_{target_cluster, seed + 2}, work_{target_cluster, run_evidence,
                                                              balancer_, seed + 3},
      callers_{target_cluster, run_evidence, balancer_, seed + 5}, versions_{target_cluster,
                                                                             run_evidence}
{
}

void planned_soak::start()
{
    cluster_.start_hosts();
    versions_.start();
    balancer_.start();
    after(start_up_time, [this] {
        callers_.start();
        next_work(boot_clock::now() + length_);
    });
}

void planned_soak::next_work(time_point end)
{
    if (boot_clock::now() >= end)
        return wait_for_work_to_end();
    const auto names = planned_work::names();
    work_.begin(names[random_() % names.size()]);
    after(min_work_interval + uniform_duration(random_, max_work_interval - min_work_interval),
          [this, end] { next_work(end); });
}

void planned_soak::wait_for_work_to_end()
{
    if (work_.active() > 0)
        after(milliseconds{100}, [this] { wait_for_work_to_end(); });
    else
        after(settle_time, [this] { finish(); });
}

void planned_soak::finish()
{
    callers_.stop();
    versions_.check_last();
    after(answer_timeout, [this] {
        callers_.report();
        if (!evidence_.outcomes.contains("status 200"))
            evidence_.violation("no request was answered with success");
        loop_.quit(print_report(cluster_, evidence_));
    });
}

} // namespace chivewharf::fleet_soak
