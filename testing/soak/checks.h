#pragma once

#include "callers.h"

#include <map>
#include <string>
#include <vector>

namespace chivewharf::soak {

/// A promise that was broken, and when.
struct violation {
    int promise; ///< 1 to 8 as in section 1.1 of the design page
    std::string text;
    wall_ms from;
    wall_ms to;
};

/// Time during which a fault was active.
struct fault_window {
    std::string fault;
    wall_ms from;
    wall_ms to;
};

/// Starts of one task over all runners.
struct task_starts {
    std::uint64_t count = 0;
    wall_ms first = 0;
    wall_ms last = 0;
    std::string where; ///< runner, attempt and time of each
};

/// Configuration version that an entry host reported.
struct version_sample {
    int entry;
    wall_ms asked;
    wall_ms answered;
    std::int64_t version;
};

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

struct publication {
    std::int64_t version;
    wall_ms accepted;
};

/// Everything that the checks look at.
struct evidence {
    std::deque<submission_record>* records = nullptr;
    std::map<std::string, task_starts> ledger;
    std::vector<fault_window> windows;
    std::vector<version_sample> versions;
    std::vector<planned_stop> stops;
    std::vector<leaving_runner> leaving;
    std::vector<publication> publications;
    std::vector<violation> observed; ///< found while the run went on
};

std::vector<violation> check_promises(const evidence& seen);

/// Falsifies the evidence, to show that a check can fail.
/// \return whether the name is known and there was something to falsify
bool falsify(const std::string& name, evidence& seen);

/// Prints the table of faults and the submissions by outcome and reason.
void print_report(const evidence& seen, const std::vector<violation>& broken);

} // namespace chivewharf::soak
