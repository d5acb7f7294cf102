#pragma once

#include "faults.h"
#include "load_balancer.h"

namespace chivewharf::fleet_soak {

/// Begins planned work by name: stops of hosts, reloads of their settings and changes of the
/// configuration, alone and in series. Several series may be in progress at once.
class planned_work {
public:
    planned_work(cluster& target_cluster, evidence& run_evidence, load_balancer& balancer,
                 std::uint64_t seed);

    static std::vector<std::string> names();
    void begin(const std::string& name);
    /// Number of series and stops in progress.
    std::size_t active() const noexcept { return active_ + stops_.active(); }

private:
    using begin_function = void (planned_work::*)();
    static const std::map<std::string, begin_function> kinds;

    std::size_t random_below(std::size_t limit) { return random_() % limit; }
    /// Calls the function `count` times.
    void repeat(std::size_t count, duration interval, const std::function<void()>& step);

    void stop_one();
    void stop_several();
    void stop_in_turn();
    void reload();
    void change_idle_timeout();
    void change_route_timeout();
    void change_routes();
    void change_in_storm();

    cluster& cluster_;
    evidence& evidence_;
    load_balancer& balancer_;
    rng random_;
    faults stops_;
    caller_config config_;
    std::size_t active_ = 0;
};

} // namespace chivewharf::fleet_soak
