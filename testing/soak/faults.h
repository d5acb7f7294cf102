#pragma once

#include "callers.h"
#include "checks.h"

#include <functional>
#include <map>
#include <set>

namespace chivewharf::soak {

/// Injects faults by name. Each fault selects its targets at random when it begins.
class faults {
public:
    faults(cluster& target_cluster, evidence& run_evidence, std::uint64_t seed);

    std::vector<std::string> names() const;

    /// Begins a fault, ends it after its hold time and then calls `done`.
    void inject(const std::string& name, std::function<void()> done);

private:
    /// A fault in progress.
    struct injection {
        std::size_t window = 0; ///< index in the windows of the evidence
        std::vector<int> entries;
        std::vector<int> runners;
        int disturbance_number = 0; ///< as returned by the relay
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

    std::size_t random_below(std::size_t limit) { return random_() % limit; }
    /// Reserves a random entry host that no other fault has reserved, until the fault ends.
    int reserve_entry(injection& fault);
    void reserve_runners(injection& fault, int count);
    relay::selector other_domains(int domain) const;
    /// Changes the behaviour of the platform stand-in.
    void control_platform(const json& settings);
    /// Sets the behaviour of the runners that the fault has reserved.
    void set_mode(const injection& fault, const std::string& mode);
    void publish_host_list();
    /// Records the end of the fault and releases its targets.
    void finish(const injection_ptr& fault);
    /// Records the last start at each leaving runner, from number `next` on, then ends the fault.
    void record_leaving(const injection_ptr& fault, std::size_t next, bool by_header);

    void kill(const injection_ptr& fault);
    void restart(const injection_ptr& fault);
    void pause(const injection_ptr& fault);
    void resume(const injection_ptr& fault);
    void stop(const injection_ptr& fault);
    void wait_for_stop(const injection_ptr& fault);
    void silence_peers(const injection_ptr& fault);
    void mute_peers(const injection_ptr& fault);
    void mute_runners(const injection_ptr& fault);
    void silence_runners(const injection_ptr& fault);
    void mute_platform(const injection_ptr& fault);
    void end_disturbance(const injection_ptr& fault);
    void cut_domain(const injection_ptr& fault);
    void cut_platform(const injection_ptr& fault);
    void cut_runners(const injection_ptr& fault);
    void begin_outage(const injection_ptr& fault);
    void end_outage(const injection_ptr& fault);
    void lose_answers(const injection_ptr& fault);
    void workers_fail(const injection_ptr& fault);
    void workers_hang(const injection_ptr& fault);
    void workers_refuse(const injection_ptr& fault);
    void end_worker_mode(const injection_ptr& fault);
    void leave_by_list(const injection_ptr& fault);
    void leave_by_header(const injection_ptr& fault);
    void end_leave_by_list(const injection_ptr& fault);
    void end_leave_by_header(const injection_ptr& fault);

    cluster& cluster_;
    evidence& evidence_;
    rng random_;
    std::set<int> busy_entries_;
    std::set<int> busy_runners_;
    std::set<std::string> leaving_;
};

} // namespace chivewharf::soak
