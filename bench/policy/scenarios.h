#pragma once

#include <functional>
#include <map>
#include <policy/cluster_sim.h>
#include <string>
#include <vector>

namespace chivewharf::policy {

/// A deployment with its load and faults.
struct scenario {
    std::string name;
    cluster_options options;
    std::function<void(cluster_sim&)> arrange = {};
};

const std::vector<scenario>& scenarios();
const scenario& find_scenario(std::string_view name);

/// Dispatch policies by name; the first is `shipped`, the defaults.
const std::vector<std::pair<std::string, dispatch::policy_options>>& policies();

/// Figures of a run, by name: median, p99, absolute_median, absolute_p99, waste, goodput,
/// share_error, refused_sends, first_worker_part and so on.
using figure_map = std::map<std::string, double>;

/// Runs a scenario under a policy. Throws `std::invalid_argument` if the policy is unknown.
/// \param raw receives the unprocessed figures if not null
figure_map run(const scenario& what, const std::string& policy, std::uint64_t seed,
               figures* raw = nullptr);

} // namespace chivewharf::policy
