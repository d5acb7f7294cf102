#include "report.h"

#include <iostream>

namespace chivewharf::fleet_soak {

int print_report(cluster& target_cluster, evidence& run_evidence)
{
    std::cout << "jobs " << run_evidence.jobs.size() << ", tasks started " << run_evidence.starts
              << ", versions " << target_cluster.version() << "\ninjections:";
    for (const auto& [name, count] : run_evidence.injections)
        std::cout << "\n  " << name << ' ' << count;
    std::cout << "\nattempts:";
    for (const auto& [name, count] : run_evidence.outcomes)
        std::cout << "\n  " << name << ' ' << count;
    std::cout << '\n';
    for (const auto& one : target_cluster.processes().unexpected_exits())
        run_evidence.violation(one);
    for (const auto& one : run_evidence.violations)
        std::cout << "VIOLATION " << one << '\n';
    std::cout << (run_evidence.violations.empty() ? "PASSED" : "FAILED") << std::endl;
    return run_evidence.violations.empty() ? 0 : 1;
}

} // namespace chivewharf::fleet_soak
