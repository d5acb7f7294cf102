#pragma once

namespace chivewharf::policy {

/// Prints the time of the decisions for one task at 50, 340 and 1,700 workers.
void print_decision_cost();

} // namespace chivewharf::policy
