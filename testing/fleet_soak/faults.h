#pragma once

#include "cluster.h"

#include <base/rng.h>
#include <map>
#include <set>

namespace chivewharf::fleet_soak {

/// The faults by name. Each takes its targets at random when it begins; several may be active.
class faults {
public:
    faults(cluster& all, evidence& seen, std::uint64_t seed);

    static std::vector<std::string> names();

    /// Injects a fault, and ends it after a random time.
    void inject(const std::string& name);

    std::size_t active() const noexcept { return active_; }

private:
    using ending = std::function<void()>;
    using beginning = ending (faults::*)();
    static const std::map<std::string, beginning> kinds;

    std::size_t below(std::size_t limit) { return random_() % limit; }
    duration length() { return milliseconds{300} + uniform_duration(random_, milliseconds{3200}); }
    /// A running host that no other fault has taken; nothing if there is none.
    testing_support::child* take_host();
    void release(testing_support::child* host) { taken_.erase(host); }
    void restart(testing_support::child* host);
    ending disturb(testing_support::disturbance kind, testing_support::relay::selector which);
    testing_support::relay::selector domain_paths();
    ending set_store(store_mode mode);
    /// Sets a field of a worker's fault, until the end.
    template <class Value>
    ending set_worker(Value testing_support::worker_fault::*field, Value value);

    ending kill();
    ending kill_all();
    ending stop();
    ending pause();
    ending silence();
    ending reset();
    ending mute_host();
    ending mute_one_way();
    ending delay_host();
    ending cut_domain();
    ending mute_domain();
    ending cut_store();
    ending mute_store();
    ending store_refuses();
    ending store_silent();
    ending store_loses();
    ending store_forgets();
    ending mute_worker();
    ending worker_late();
    ending worker_loses();
    ending worker_hangs();
    ending worker_fails();
    ending worker_crashes();
    ending worker_leaves();

    cluster& all_;
    evidence& seen_;
    rng random_;
    std::set<testing_support::child*> taken_;
    std::size_t active_ = 0;
};

} // namespace chivewharf::fleet_soak
