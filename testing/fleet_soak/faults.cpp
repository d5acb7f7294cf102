#include "faults.h"

#include <csignal>
#include <testing/support/after.h>

namespace chivewharf::fleet_soak {

using testing_support::after;
using testing_support::child;
using testing_support::disturbance;
using testing_support::relay;
using testing_support::route_name;
using testing_support::target_kind;
using testing_support::worker_fault;

namespace {

/// Time that a planned stop may take; then the process is killed, as the platform does.
constexpr duration stop_limit = seconds{6};
/// Share of a worker's orders that are disturbed.
constexpr double disturbed_share = 0.3;

} // namespace

const std::map<std::string, faults::beginning> faults::kinds{
    {"host killed", &faults::kill},
    {"all hosts killed", &faults::kill_all},
    {"host stopped", &faults::stop},
    {"host paused", &faults::pause},
    {"open connections silent", &faults::silence},
    {"open connections reset", &faults::reset},
    {"host muted", &faults::mute_host},
    {"host muted one way", &faults::mute_one_way},
    {"host delayed", &faults::delay_host},
    {"domain cut off", &faults::cut_domain},
    {"domain muted", &faults::mute_domain},
    {"store cut off", &faults::cut_store},
    {"store muted", &faults::mute_store},
    {"store refuses", &faults::store_refuses},
    {"store silent", &faults::store_silent},
    {"store loses answers", &faults::store_loses},
    {"store forgets", &faults::store_forgets},
    {"worker muted", &faults::mute_worker},
    {"worker carries out late", &faults::worker_late},
    {"worker loses answers", &faults::worker_loses},
    {"worker hangs", &faults::worker_hangs},
    {"worker fails", &faults::worker_fails},
    {"worker crashes", &faults::worker_crashes},
    {"worker leaves", &faults::worker_leaves},
};

faults::faults(cluster& all, evidence& seen, std::uint64_t seed)
    : all_{all}, seen_{seen}, random_{seed}
{
}

std::vector<std::string> faults::names()
{
    std::vector<std::string> all;
    all.reserve(kinds.size());
    for (const auto& [name, begin] : kinds)
        all.push_back(name);
    return all;
}

void faults::inject(const std::string& name)
{
    const auto end = (this->*kinds.at(name))();
    if (!end)
        return;
    ++seen_.faults[name];
    ++active_;
    after(length(), [this, end] {
        --active_;
        end();
    });
}

child* faults::take_host()
{
    std::vector<child*> free;
    for (auto& one : all_.hosts()) {
        if (one.running && !taken_.contains(&one))
            free.push_back(&one);
    }
    if (free.empty())
        return nullptr;
    auto* chosen = free[below(free.size())];
    taken_.insert(chosen);
    return chosen;
}

void faults::restart(child* host)
{
    release(host);
    if (!host->running)
        all_.processes().start(*host);
}

faults::ending faults::kill()
{
    auto* host = take_host();
    if (host == nullptr)
        return {};
    all_.processes().send_signal(*host, SIGKILL);
    return [this, host] { restart(host); };
}

faults::ending faults::kill_all()
{
    if (!taken_.empty())
        return {};
    std::vector<child*> killed;
    while (auto* host = take_host()) {
        all_.processes().send_signal(*host, SIGKILL);
        killed.push_back(host);
    }
    return [this, killed] {
        for (auto* host : killed)
            restart(host);
    };
}

faults::ending faults::stop()
{
    auto* host = take_host();
    if (host == nullptr)
        return {};
    ++active_;
    host->on_exit = [this, host](int code) {
        --active_;
        if (code != 0)
            seen_.violation(host->name + " ended its planned stop with " + std::to_string(code));
        restart(host);
    };
    all_.processes().send_signal(*host, SIGTERM);
    after(stop_limit, [this, host, starts = host->starts] {
        if (host->running && host->starts == starts)
            all_.processes().send_signal(*host, SIGKILL);
    });
    return [] {};
}

faults::ending faults::pause()
{
    auto* host = take_host();
    if (host == nullptr)
        return {};
    all_.processes().send_signal(*host, SIGSTOP);
    return [this, host] {
        all_.processes().send_signal(*host, SIGCONT);
        release(host);
    };
}

faults::ending faults::disturb(disturbance kind, relay::selector which)
{
    const auto number = all_.net().begin(kind, std::move(which));
    return [this, number] { all_.net().end(number); };
}

/// Every path between a domain, with its workers, and the others, and to the store.
relay::selector faults::domain_paths()
{
    const auto domain = static_cast<int>(below(std::size(domain_names)));
    return [domain](const route_name& one) {
        if (one.from == route_name::unknown)
            return false;
        const bool from = domain_of_host[one.from] == domain;
        if (one.kind == target_kind::platform)
            return from;
        const bool to = one.kind == target_kind::peer ? domain_of_host[one.to] == domain
                                                      : one.to / workers_per_domain == domain;
        return from != to;
    };
}

faults::ending faults::silence()
{
    const auto host = static_cast<int>(below(host_count));
    all_.net().silence_open(
        [host](const route_name& one) { return one.from == host || one.to == host; });
    return [] {};
}

faults::ending faults::reset()
{
    const auto host = static_cast<int>(below(host_count));
    all_.net().reset_open([host](const route_name& one) { return one.from == host; });
    return [] {};
}

relay::selector paths_of(int host)
{
    return [host](const route_name& one) {
        return one.from == host || (one.kind == target_kind::peer && one.to == host);
    };
}

faults::ending faults::mute_host()
{
    return disturb(disturbance::mute, paths_of(static_cast<int>(below(host_count))));
}

faults::ending faults::mute_one_way()
{
    const auto kind = below(2) == 0 ? disturbance::mute_forward : disturbance::mute_backward;
    return disturb(kind, paths_of(static_cast<int>(below(host_count))));
}

faults::ending faults::delay_host()
{
    return disturb(disturbance::delay, paths_of(static_cast<int>(below(host_count))));
}

faults::ending faults::cut_domain()
{
    return disturb(disturbance::cut, domain_paths());
}

faults::ending faults::mute_domain()
{
    return disturb(disturbance::mute, domain_paths());
}

faults::ending faults::cut_store()
{
    return disturb(disturbance::cut,
                   [host = static_cast<int>(below(host_count))](const route_name& one) {
                       return one.kind == target_kind::platform && one.from >= host;
                   });
}

faults::ending faults::mute_store()
{
    return disturb(disturbance::mute,
                   [host = static_cast<int>(below(host_count))](const route_name& one) {
                       return one.kind == target_kind::platform && one.from <= host;
                   });
}

faults::ending faults::set_store(store_mode mode)
{
    all_.store().set_mode(mode);
    return [this] { all_.store().set_mode(store_mode::up); };
}

faults::ending faults::store_refuses()
{
    return set_store(store_mode::refusing);
}

faults::ending faults::store_silent()
{
    return set_store(store_mode::silent);
}

faults::ending faults::store_loses()
{
    return set_store(store_mode::losing);
}

faults::ending faults::store_forgets()
{
    all_.store().forget_history();
    return [] {};
}

faults::ending faults::mute_worker()
{
    return disturb(disturbance::mute, [worker = static_cast<int>(below(all_.workers().size()))](
                                          const route_name& one) {
        return one.kind == target_kind::runner && one.to == worker;
    });
}

template <class Value>
faults::ending faults::set_worker(Value worker_fault::*field, Value value)
{
    auto& fault = all_.workers().fault(below(all_.workers().size()));
    fault.*field = value;
    return [&fault, field] { fault.*field = Value{}; };
}

faults::ending faults::worker_late()
{
    return set_worker(&worker_fault::late_orders, disturbed_share);
}

faults::ending faults::worker_loses()
{
    return set_worker(&worker_fault::lost_answers, disturbed_share);
}

faults::ending faults::worker_hangs()
{
    return set_worker(&worker_fault::hangs_tasks, true);
}

faults::ending faults::worker_fails()
{
    return set_worker(&worker_fault::fails_tasks, true);
}

faults::ending faults::worker_crashes()
{
    all_.workers().crash(below(all_.workers().size()));
    return [] {};
}

faults::ending faults::worker_leaves()
{
    const auto worker = below(all_.workers().size());
    all_.workers().set_leaving(worker, true);
    return [this, worker] { all_.workers().set_leaving(worker, false); };
}

} // namespace chivewharf::fleet_soak
