#pragma once

#include "cluster.h"

namespace chivewharf::fleet_soak {

/// Prints what the run has observed and its violations, and adds the unexpected exits to them.
/// \return the exit code of the program: 0 if nothing was violated
int print_report(cluster& target_cluster, evidence& run_evidence);

} // namespace chivewharf::fleet_soak
