#pragma once

#include "callers.h"

#include <map>
#include <string>
#include <vector>

namespace chivewharf::soak {

/// A broken promise, and the time span in which it was broken.
struct violation {
    int promise; ///< number of the promise, 1 to 8 as in section 1.1 of the design page
    std::string text;
    wall_ms from;
    wall_ms to;
};

/// Time span in which a fault was active.
struct fault_window {
    std::string fault;
    wall_ms from;
    wall_ms to;
};

/// All starts of one task, over all runners.
struct task_starts {
    std::uint64_t count = 0;
    wall_ms first = 0;
    wall_ms last = 0;
    std::string where; ///< runner, attempt and time of each start, for the report
};

/// Configuration version that an entry host reported, with the times of request and answer.
struct version_sample {
    int entry;
    wall_ms asked;
    wall_ms answered;
    std::int64_t version;
};

/// Stop of an entry host by SIGTERM.
struct planned_stop {
    int entry;
    long incarnation;
    wall_ms asked;
    wall_ms ended;
    int exit_code;
};

/// Last start at a runner that was announced as leaving.
struct leaving_runner {
    std::string name;
    wall_ms announced;
    wall_ms last_start;
};

/// Configuration version that the platform's log accepted.
struct publication {
    std::int64_t version;
    wall_ms accepted;
};

/// All observations of the run that the checks use.
struct evidence {
    std::deque<submission_record>* records = nullptr;
    std::map<std::string, task_starts> ledger; ///< by task, `ID/INDEX`
    std::vector<fault_window> windows;
    std::vector<version_sample> versions;
    std::vector<planned_stop> stops;
    std::vector<leaving_runner> leaving;
    std::vector<publication> publications;
    std::vector<violation> observed; ///< violations found during the run
};

/// Checks the evidence against promises P1 to P8.
/// \return all violations, including those found during the run
std::vector<violation> check_promises(const evidence& run_evidence);

/// Falsifies the evidence to prove that a check can fail. Prints all names if `name` is unknown.
/// \return false if the name is unknown or the run has no suitable submissions
bool falsify(const std::string& name, evidence& run_evidence);

/// Prints the table of faults, the submissions by outcome and reason, and the violations.
void print_report(const evidence& run_evidence, const std::vector<violation>& broken);

} // namespace chivewharf::soak
