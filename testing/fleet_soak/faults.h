#pragma once

#include "cluster.h"

#include <base/rng.h>
#include <map>
#include <set>

namespace chivewharf::fleet_soak {

/// Injects faults by name. Each fault selects its targets at random when it begins; several may be
/// active at once.
class faults {
public:
    faults(cluster& target_cluster, evidence& run_evidence, std::uint64_t seed);

    static std::vector<std::string> names();

    /// Begins a fault and schedules its end after a random time. Does nothing if the fault finds no
    /// target.
    void inject(const std::string& name);

    /// Number of faults in progress.
    std::size_t active() const noexcept { return active_; }

private:
    using end_function = std::function<void()>;
    /// Begins a fault. Returns the function that ends it, or an empty one if there was no target.
    using begin_function = end_function (faults::*)();
    static const std::map<std::string, begin_function> kinds;

    std::size_t random_below(std::size_t limit) { return random_() % limit; }
    duration random_length()
    {
        return milliseconds{300} + uniform_duration(random_, milliseconds{3200});
    }
    /// Reserves a random running host that no other fault has reserved.
    /// \return nullptr if there is none
    testing_support::child* reserve_host();
    void release(testing_support::child* host) { reserved_hosts_.erase(host); }
    /// Releases the host and starts its process unless it is running.
    void restart(testing_support::child* host);
    end_function disturb(testing_support::disturbance kind, testing_support::relay::selector which);
    /// Selects every path between a random domain, with its workers, and the other domains, and
    /// from the domain to the store.
    testing_support::relay::selector domain_paths();
    end_function set_store(store_mode mode);
    /// Sets a field in the fault of a random worker until the fault ends.
    template <class Value>
    end_function set_worker(Value testing_support::worker_fault::*field, Value value);

    end_function kill();
    end_function kill_all();
    end_function stop();
    end_function pause();
    end_function silence();
    end_function reset();
    end_function mute_host();
    end_function mute_one_way();
    end_function delay_host();
    end_function cut_domain();
    end_function mute_domain();
    end_function cut_store();
    end_function mute_store();
    end_function store_refuses();
    end_function store_silent();
    end_function store_loses();
    end_function store_forgets();
    end_function mute_worker();
    end_function worker_late();
    end_function worker_loses();
    end_function worker_hangs();
    end_function worker_fails();
    end_function worker_crashes();
    end_function worker_leaves();
    end_function worker_entries_lapse();
    end_function odd_worker_entry();

    cluster& cluster_;
    evidence& evidence_;
    rng random_;
    std::set<testing_support::child*> reserved_hosts_;
    std::size_t active_ = 0;
};

} // namespace chivewharf::fleet_soak
