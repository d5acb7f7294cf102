#include "faults.h"

#include <csignal>
#include <filesystem>
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

/// The platform kills a process that has not ended this long after SIGTERM.
constexpr duration stop_timeout = seconds{6};
/// Share of a worker's orders that are delayed or not answered during such a fault.
constexpr double disturbed_order_share = 0.3;

/// Entries that another writer might put among those of the workers.
std::vector<std::string> odd_entries()
{
    const auto entry = [](const std::string& address, const std::string& domain,
                          const std::string& capacity, const std::string& more) {
        return R"({"service":"desk","state":"ready","born":17,"address":")" + address +
               R"(","zone":")" + domain + R"(","capacity":{"cpu":)" + capacity + "}" + more + "}";
    };
    const std::string known = domain_names[0];
    constexpr std::size_t depth = 100000;
    return {entry("127.0.0.1:99999", known, "64000", ""),
            entry("127.0.0.1:1", std::string(1000, 'z'), "64000", ""),
            entry("127.0.0.1:1", known, "1e999", ""),
            entry("127.0.0.1:1", known, "-64000", ""),
            entry("127.0.0.1:1", known, "64000",
                  ",\"x\":" + std::string(depth, '[') + std::string(depth, ']')),
            std::string(depth, '\xff')};
}

bool has_no_output(const child& host)
{
    std::error_code unreadable;
    return std::filesystem::file_size(host.log, unreadable) == 0;
}

} // namespace

const std::map<std::string, faults::begin_function> faults::kinds{
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
    {"worker entries lapse", &faults::worker_entries_lapse},
    {"odd worker entry", &faults::odd_worker_entry},
};

faults::faults(cluster& target_cluster, evidence& run_evidence, std::uint64_t seed)
    : cluster_{target_cluster}, evidence_{run_evidence}, random_{seed}
{
}

std::vector<std::string> faults::names()
{
    std::vector<std::string> result;
    result.reserve(kinds.size());
    for (const auto& [name, begin] : kinds)
        result.push_back(name);
    return result;
}

void faults::inject(const std::string& name)
{
    const auto end = (this->*kinds.at(name))();
    if (!end)
        return;
    ++evidence_.injections[name];
    ++active_;
    after(random_length(), [this, end] {
        --active_;
        end();
    });
}

child* faults::reserve_host()
{
    std::vector<child*> available;
    for (auto& host : cluster_.hosts()) {
        if (host.running && !reserved_hosts_.contains(&host))
            available.push_back(&host);
    }
    if (available.empty())
        return nullptr;
    auto* chosen = available[random_below(available.size())];
    reserved_hosts_.insert(chosen);
    return chosen;
}

void faults::restart(child* host)
{
    release(host);
    if (!host->running)
        cluster_.processes().start(*host);
}

faults::end_function faults::kill()
{
    auto* host = reserve_host();
    if (host == nullptr)
        return {};
    cluster_.processes().send_signal(*host, SIGKILL);
    return [this, host] { restart(host); };
}

faults::end_function faults::kill_all()
{
    if (!reserved_hosts_.empty())
        return {};
    std::vector<child*> killed;
    while (auto* host = reserve_host()) {
        cluster_.processes().send_signal(*host, SIGKILL);
        killed.push_back(host);
    }
    return [this, killed] {
        for (auto* host : killed)
            restart(host);
    };
}

faults::end_function faults::stop()
{
    auto* host = reserve_host();
    if (host == nullptr)
        return {};
    ++active_;
    host->on_exit = [this, host](int code) {
        --active_;
        // A process that has not written a line yet has no handler for the signal, and no requests.
        if (code == -SIGTERM && has_no_output(*host))
            ++evidence_.outcomes["stopped before its start"];
        else if (code != 0)
            evidence_.violation(host->name + " ended its planned stop with " +
                                std::to_string(code));
        restart(host);
    };
    cluster_.processes().send_signal(*host, SIGTERM);
    after(stop_timeout, [this, host, starts = host->starts] {
        if (host->running && host->starts == starts)
            cluster_.processes().send_signal(*host, SIGKILL);
    });
    return [] {};
}

faults::end_function faults::pause()
{
    auto* host = reserve_host();
    if (host == nullptr)
        return {};
    cluster_.processes().send_signal(*host, SIGSTOP);
    return [this, host] {
        cluster_.processes().send_signal(*host, SIGCONT);
        release(host);
    };
}

faults::end_function faults::disturb(disturbance kind, relay::selector which)
{
    const auto number = cluster_.network().begin(kind, std::move(which));
    return [this, number] { cluster_.network().end(number); };
}

relay::selector faults::domain_paths()
{
    const auto domain = static_cast<int>(random_below(std::size(domain_names)));
    return [domain](const route_name& path) {
        if (path.from == route_name::unknown)
            return false;
        const bool from = domain_of_host[path.from] == domain;
        if (path.kind == target_kind::platform)
            return from;
        const bool to = path.kind == target_kind::peer ? domain_of_host[path.to] == domain
                                                       : path.to / workers_per_domain == domain;
        return from != to;
    };
}

faults::end_function faults::silence()
{
    const auto host = static_cast<int>(random_below(host_count));
    cluster_.network().silence_open(
        [host](const route_name& path) { return path.from == host || path.to == host; });
    return [] {};
}

faults::end_function faults::reset()
{
    const auto host = static_cast<int>(random_below(host_count));
    cluster_.network().reset_open([host](const route_name& path) { return path.from == host; });
    return [] {};
}

relay::selector paths_of(int host)
{
    return [host](const route_name& path) {
        return path.from == host || (path.kind == target_kind::peer && path.to == host);
    };
}

faults::end_function faults::mute_host()
{
    return disturb(disturbance::mute, paths_of(static_cast<int>(random_below(host_count))));
}

faults::end_function faults::mute_one_way()
{
    const auto kind = random_below(2) == 0 ? disturbance::mute_forward : disturbance::mute_backward;
    return disturb(kind, paths_of(static_cast<int>(random_below(host_count))));
}

faults::end_function faults::delay_host()
{
    return disturb(disturbance::delay, paths_of(static_cast<int>(random_below(host_count))));
}

faults::end_function faults::cut_domain()
{
    return disturb(disturbance::cut, domain_paths());
}

faults::end_function faults::mute_domain()
{
    return disturb(disturbance::mute, domain_paths());
}

faults::end_function faults::cut_store()
{
    return disturb(disturbance::cut,
                   [host = static_cast<int>(random_below(host_count))](const route_name& path) {
                       return path.kind == target_kind::platform && path.from >= host;
                   });
}

faults::end_function faults::mute_store()
{
    return disturb(disturbance::mute,
                   [host = static_cast<int>(random_below(host_count))](const route_name& path) {
                       return path.kind == target_kind::platform && path.from <= host;
                   });
}

faults::end_function faults::set_store(store_mode mode)
{
    cluster_.store().set_mode(mode);
    return [this] { cluster_.store().set_mode(store_mode::up); };
}

faults::end_function faults::store_refuses()
{
    return set_store(store_mode::refusing);
}

faults::end_function faults::store_silent()
{
    return set_store(store_mode::silent);
}

faults::end_function faults::store_loses()
{
    return set_store(store_mode::losing);
}

faults::end_function faults::store_forgets()
{
    cluster_.store().forget_history();
    return [] {};
}

faults::end_function faults::mute_worker()
{
    return disturb(disturbance::mute, [worker = static_cast<int>(random_below(
                                           cluster_.workers().size()))](const route_name& path) {
        return path.kind == target_kind::runner && path.to == worker;
    });
}

template <class Value>
faults::end_function faults::set_worker(Value worker_fault::*field, Value value)
{
    auto& fault = cluster_.workers().fault(random_below(cluster_.workers().size()));
    fault.*field = value;
    return [&fault, field] { fault.*field = Value{}; };
}

faults::end_function faults::worker_late()
{
    return set_worker(&worker_fault::late_orders, disturbed_order_share);
}

faults::end_function faults::worker_loses()
{
    return set_worker(&worker_fault::lost_answers, disturbed_order_share);
}

faults::end_function faults::worker_hangs()
{
    return set_worker(&worker_fault::hangs_tasks, true);
}

faults::end_function faults::worker_fails()
{
    return set_worker(&worker_fault::fails_tasks, true);
}

faults::end_function faults::worker_crashes()
{
    cluster_.workers().crash(random_below(cluster_.workers().size()));
    return [] {};
}

faults::end_function faults::worker_entries_lapse()
{
    std::vector<std::size_t> lapsed;
    for (std::size_t worker = 0; worker < cluster_.workers().size(); ++worker) {
        if (random_below(2) == 0)
            lapsed.push_back(worker);
    }
    for (const auto worker : lapsed)
        cluster_.workers().set_listed(worker, false);
    return [this, lapsed] {
        for (const auto worker : lapsed)
            cluster_.workers().set_listed(worker, true);
    };
}

faults::end_function faults::odd_worker_entry()
{
    const auto entries = odd_entries();
    cluster_.store().put("keyed.servers", "odd", entries[random_below(entries.size())]);
    return [this] { cluster_.store().put("keyed.servers", "odd", ""); };
}

faults::end_function faults::worker_leaves()
{
    const auto worker = random_below(cluster_.workers().size());
    cluster_.workers().set_leaving(worker, true);
    return [this, worker] { cluster_.workers().set_leaving(worker, false); };
}

} // namespace chivewharf::fleet_soak
