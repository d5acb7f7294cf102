#include "planned_work.h"

#include <array>
#include <csignal>
#include <testing/support/after.h>

namespace chivewharf::fleet_soak {

using testing_support::after;

namespace {

constexpr duration turn_interval = milliseconds{600};
constexpr duration storm_interval = milliseconds{150};
constexpr std::size_t storm_changes = 16;
constexpr std::array idle_timeouts{milliseconds{200}, milliseconds{700}, milliseconds{1500},
                                   milliseconds{4000}, milliseconds{15000}};
constexpr std::array route_timeouts{milliseconds{700}, milliseconds{1500}, milliseconds{2500},
                                    milliseconds{5000}};

} // namespace

const std::map<std::string, planned_work::begin_function> planned_work::kinds{
    {"one host stopped", &planned_work::stop_one},
    {"several hosts stopped", &planned_work::stop_several},
    {"hosts stopped in turn", &planned_work::stop_in_turn},
    {"settings reloaded", &planned_work::reload},
    {"idle timeout changed", &planned_work::change_idle_timeout},
    {"route timeout changed", &planned_work::change_route_timeout},
    {"routes changed", &planned_work::change_routes},
    {"storm of changes", &planned_work::change_in_storm},
};

planned_work::planned_work(cluster& target_cluster, evidence& run_evidence, load_balancer& balancer,
                           std::uint64_t seed)
    : cluster_{target_cluster}, evidence_{run_evidence}, balancer_{balancer}, random_{seed},
      stops_{target_cluster, run_evidence, seed + 1}
{
}

std::vector<std::string> planned_work::names()
{
    std::vector<std::string> result;
    result.reserve(kinds.size());
    for (const auto& [name, function] : kinds)
        result.push_back(name);
    return result;
}

void planned_work::begin(const std::string& name)
{
    ++evidence_.injections[name];
    (this->*kinds.at(name))();
}

void planned_work::repeat(std::size_t count, duration interval, const std::function<void()>& step)
{
    step();
    if (count <= 1)
        return;
    ++active_;
    after(interval, [this, count, interval, step] {
        --active_;
        repeat(count - 1, interval, step);
    });
}

void planned_work::stop_one()
{
    stops_.inject("host stopped");
}

void planned_work::stop_several()
{
    const auto count = 2 + random_below(3);
    for (std::size_t i = 0; i < count; ++i)
        stop_one();
}

void planned_work::stop_in_turn()
{
    repeat(host_count, turn_interval, [this] { stop_one(); });
}

void planned_work::reload()
{
    for (int host = 0; host < host_count; ++host) {
        auto& process = cluster_.hosts()[static_cast<std::size_t>(host)];
        // A process that has only just started has no handler for the signal yet.
        if (balancer_.ready(host) && !process.exit_expected && random_below(2) == 0)
            cluster_.processes().send_signal(process, SIGHUP);
    }
}

void planned_work::change_idle_timeout()
{
    config_.idle_timeout = idle_timeouts[random_below(idle_timeouts.size())];
    cluster_.publish(config_);
}

void planned_work::change_route_timeout()
{
    config_.route_timeout = route_timeouts[random_below(route_timeouts.size())];
    cluster_.publish(config_);
}

void planned_work::change_routes()
{
    config_.extra_routes = static_cast<unsigned>(random_below(cluster::max_extra_routes + 1));
    cluster_.publish(config_);
}

void planned_work::change_in_storm()
{
    constexpr std::array<begin_function, 3> changes{&planned_work::change_idle_timeout,
                                                    &planned_work::change_route_timeout,
                                                    &planned_work::change_routes};
    repeat(storm_changes, storm_interval,
           [this, changes] { (this->*changes[random_below(changes.size())])(); });
}

} // namespace chivewharf::fleet_soak
