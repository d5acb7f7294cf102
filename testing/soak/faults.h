#pragma once

#include "callers.h"
#include "checks.h"

#include <functional>
#include <map>
#include <set>

namespace chivewharf::soak {

/// The faults by name. Each takes its targets at random when it begins.
class faults {
public:
    faults(cluster& all, evidence& seen, std::uint64_t seed);

    std::vector<std::string> names() const;

    /// Injects a fault, holds it, ends it and calls `done` when it is over.
    void inject(const std::string& name, std::function<void()> done);

private:
    struct injection {
        std::size_t window = 0;
        std::vector<int> entries;
        std::vector<int> runners;
        int disturbed = 0; ///< number at the relay
        std::function<void()> done;
        wall_ms since = 0;
    };
    using injection_ptr = std::shared_ptr<injection>;
    struct kind {
        int hold_ms;
        void (faults::*begin)(const injection_ptr&);
        void (faults::*end)(const injection_ptr&);
    };
    static const std::map<std::string, kind> kinds;

    std::size_t below(std::size_t limit) { return random_() % limit; }
    int take_entry(injection& of);
    void take_runners(injection& of, int count);
    relay::selector other_domains(int domain) const;
    void control_platform(const json& wanted);
    void set_mode(const injection& of, const std::string& mode);
    void publish_list();
    void finish(const injection_ptr& of);
    void read_leaving(const injection_ptr& of, std::size_t next, bool by_header);

    void kill(const injection_ptr& of);
    void restart(const injection_ptr& of);
    void pause(const injection_ptr& of);
    void resume(const injection_ptr& of);
    void stop(const injection_ptr& of);
    void wait_for_stop(const injection_ptr& of);
    void silence_peers(const injection_ptr& of);
    void mute_peers(const injection_ptr& of);
    void mute_runners(const injection_ptr& of);
    void silence_runners(const injection_ptr& of);
    void mute_platform(const injection_ptr& of);
    void end_disturbance(const injection_ptr& of);
    void cut_domain(const injection_ptr& of);
    void cut_platform(const injection_ptr& of);
    void cut_runners(const injection_ptr& of);
    void outage(const injection_ptr& of);
    void end_outage(const injection_ptr& of);
    void lose_answers(const injection_ptr& of);
    void workers_fail(const injection_ptr& of);
    void workers_hang(const injection_ptr& of);
    void workers_refuse(const injection_ptr& of);
    void workers_back(const injection_ptr& of);
    void leave_by_list(const injection_ptr& of);
    void leave_by_header(const injection_ptr& of);
    void listed_back(const injection_ptr& of);
    void header_back(const injection_ptr& of);

    cluster& all_;
    evidence& seen_;
    rng random_;
    std::set<int> busy_entries_;
    std::set<int> busy_runners_;
    std::set<std::string> leaving_;
};

} // namespace chivewharf::soak
