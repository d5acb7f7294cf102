#include "faults.h"

#include <algorithm>
#include <csignal>
#include <iostream>
#include <limits>
#include <runtime/timer.h>

namespace chivewharf::soak {

namespace {

constexpr wall_ms stop_timeout_ms = 30000;

void after(duration delay, std::function<void()> call)
{
    const auto timer = std::make_shared<runtime::timer>();
    timer->once(delay, [timer, call = std::move(call)] { call(); });
}

} // namespace

const std::map<std::string, faults::kind> faults::kinds{
    {"kill", {1500, &faults::kill, &faults::restart}},
    {"pause", {lease_ms * 4 / 3, &faults::pause, &faults::resume}},
    {"planned stop", {0, &faults::stop, &faults::wait_for_stop}},
    {"silent peers", {2000, &faults::silence_peers, &faults::finish}},
    {"mute peers", {3000, &faults::mute_peers, &faults::end_disturbance}},
    {"silent runners", {2000, &faults::silence_runners, &faults::finish}},
    {"mute runners", {2500, &faults::mute_runners, &faults::end_disturbance}},
    {"mute platform", {3300, &faults::mute_platform, &faults::end_disturbance}},
    {"cut domain", {3000, &faults::cut_domain, &faults::end_disturbance}},
    {"cut platform", {3000, &faults::cut_platform, &faults::end_disturbance}},
    {"cut runners", {1500, &faults::cut_runners, &faults::end_disturbance}},
    {"platform outage", {3300, &faults::begin_outage, &faults::end_outage}},
    {"lost appends", {3000, &faults::lose_answers, &faults::finish}},
    {"workers fail", {2000, &faults::workers_fail, &faults::end_worker_mode}},
    {"workers hang", {2000, &faults::workers_hang, &faults::end_worker_mode}},
    {"workers refuse", {1500, &faults::workers_refuse, &faults::end_worker_mode}},
    {"leaving (list)", {4000, &faults::leave_by_list, &faults::end_leave_by_list}},
    {"leaving (header)", {4000, &faults::leave_by_header, &faults::end_leave_by_header}},
};

faults::faults(cluster& target_cluster, evidence& run_evidence, std::uint64_t seed)
    : cluster_{target_cluster}, evidence_{run_evidence}, random_{seed}
{
}

std::vector<std::string> faults::names() const
{
    std::vector<std::string> result;
    result.reserve(kinds.size());
    for (const auto& [name, definition] : kinds)
        result.push_back(name);
    return result;
}

void faults::inject(const std::string& name, std::function<void()> done)
{
    const auto& definition = kinds.at(name);
    const auto fault = std::make_shared<injection>();
    fault->window = evidence_.windows.size();
    fault->done = std::move(done);
    fault->since = wall_now_ms();
    evidence_.windows.push_back({name, fault->since, std::numeric_limits<wall_ms>::max() / 2});
    (this->*definition.begin)(fault);
    std::cout << "fault=\"" << name << '"';
    for (const int entry : fault->entries)
        std::cout << " entry=" << entry + 1;
    for (const int runner : fault->runners)
        std::cout << " runner=" << cluster_.runners()[runner].name;
    std::cout << " at=" << fault->since << std::endl;
    after(milliseconds{definition.hold_ms},
          [this, fault, end = definition.end] { (this->*end)(fault); });
}

void faults::finish(const injection_ptr& fault)
{
    evidence_.windows[fault->window].to = wall_now_ms();
    for (const int entry : fault->entries)
        busy_entries_.erase(entry);
    for (const int runner : fault->runners)
        busy_runners_.erase(runner);
    fault->done();
}

int faults::reserve_entry(injection& fault)
{
    int entry = 0;
    do
        entry = static_cast<int>(random_below(entry_count));
    while (busy_entries_.contains(entry));
    busy_entries_.insert(entry);
    fault.entries.push_back(entry);
    return entry;
}

void faults::reserve_runners(injection& fault, int count)
{
    while (static_cast<int>(fault.runners.size()) < count) {
        const auto runner = static_cast<int>(random_below(cluster_.runners().size()));
        if (busy_runners_.insert(runner).second)
            fault.runners.push_back(runner);
    }
}

relay::selector faults::other_domains(int domain) const
{
    return [domain](const route_name& path) {
        return path.kind == target_kind::peer &&
               (entry_domain[path.from] == domain) != (entry_domain[path.to] == domain);
    };
}

void faults::control_platform(const json& settings)
{
    cluster_.request_json("POST", cluster_.platform_url() + "/control", settings.dump(),
                          [](const json&) {});
}

void faults::set_mode(const injection& fault, const std::string& mode)
{
    for (const int number : fault.runners) {
        const auto& runner = cluster_.runners()[number];
        cluster_.request_json("POST",
                              cluster_.upstream_url(runner.process) +
                                  "/mode?runner=" + runner.name + "&mode=" + mode,
                              "", [](const json&) {});
    }
}

void faults::publish_host_list()
{
    control_platform({{"hosts", cluster_.host_list({leaving_.begin(), leaving_.end()})}});
}

void faults::kill(const injection_ptr& fault)
{
    cluster_.send_signal(cluster_.entries()[reserve_entry(*fault)], SIGKILL);
}

void faults::restart(const injection_ptr& fault)
{
    cluster_.start(cluster_.entries()[fault->entries.front()]);
    finish(fault);
}

void faults::pause(const injection_ptr& fault)
{
    auto& host = cluster_.entries()[reserve_entry(*fault)];
    host.paused = true;
    cluster_.send_signal(host, SIGSTOP);
}

void faults::resume(const injection_ptr& fault)
{
    auto& host = cluster_.entries()[fault->entries.front()];
    cluster_.send_signal(host, SIGCONT);
    host.paused = false;
    finish(fault);
}

void faults::stop(const injection_ptr& fault)
{
    const int entry = reserve_entry(*fault);
    auto& host = cluster_.entries()[entry];
    host.on_exit = [this, fault, entry, incarnation = host.starts](int code) {
        evidence_.stops.push_back({entry, incarnation, fault->since, wall_now_ms(), code});
        cluster_.start(cluster_.entries()[entry]);
        finish(fault);
    };
    cluster_.send_signal(host, SIGTERM);
    // The load balancer polls /readyz, so it may still select the host for part of the drain
    // notice.
    after(milliseconds{drain_notice_ms / 2}, [&host] { host.stopping = true; });
}

void faults::wait_for_stop(const injection_ptr& fault)
{
    if (evidence_.windows[fault->window].to < wall_now_ms() + stop_timeout_ms)
        return;
    if (wall_now_ms() - fault->since < stop_timeout_ms) {
        after(milliseconds{100}, [this, fault] { wait_for_stop(fault); });
        return;
    }
    const int entry = fault->entries.front();
    auto& host = cluster_.entries()[entry];
    evidence_.observed.push_back(
        {7, host.name + " did not stop within 30 s, log " + host.log, fault->since, wall_now_ms()});
    cluster_.send_signal(host, SIGKILL);
}

void faults::silence_peers(const injection_ptr& fault)
{
    const int entry = reserve_entry(*fault);
    cluster_.network().silence_open([entry](const route_name& path) {
        return path.kind == target_kind::peer && (path.from == entry || path.to == entry);
    });
}

void faults::mute_peers(const injection_ptr& fault)
{
    fault->disturbance_number = cluster_.network().begin(
        disturbance::mute, other_domains(static_cast<int>(random_below(3))));
}

void faults::mute_runners(const injection_ptr& fault)
{
    reserve_runners(*fault, 2);
    fault->disturbance_number = cluster_.network().begin(
        disturbance::mute, [runners = fault->runners](const route_name& path) {
            return path.kind == target_kind::runner &&
                   std::find(runners.begin(), runners.end(), path.to) != runners.end();
        });
}

void faults::silence_runners(const injection_ptr& fault)
{
    const int entry = reserve_entry(*fault);
    cluster_.network().silence_open([entry](const route_name& path) {
        return path.kind == target_kind::runner && path.from == entry && path.to % 2 == 0;
    });
}

void faults::mute_platform(const injection_ptr& fault)
{
    const int domain = static_cast<int>(random_below(3));
    fault->disturbance_number =
        cluster_.network().begin(disturbance::mute, [domain](const route_name& path) {
            return path.kind == target_kind::platform && entry_domain[path.from] == domain;
        });
}

void faults::end_disturbance(const injection_ptr& fault)
{
    cluster_.network().end(fault->disturbance_number);
    finish(fault);
}

void faults::cut_domain(const injection_ptr& fault)
{
    fault->disturbance_number = cluster_.network().begin(
        disturbance::cut, other_domains(static_cast<int>(random_below(3))));
}

void faults::cut_platform(const injection_ptr& fault)
{
    const int domain = static_cast<int>(random_below(3));
    fault->disturbance_number =
        cluster_.network().begin(disturbance::cut, [domain](const route_name& path) {
            return path.kind == target_kind::platform && entry_domain[path.from] == domain;
        });
}

void faults::cut_runners(const injection_ptr& fault)
{
    const int entry = reserve_entry(*fault);
    fault->disturbance_number =
        cluster_.network().begin(disturbance::cut, [entry](const route_name& path) {
            return path.kind == target_kind::runner && path.from == entry;
        });
}

void faults::begin_outage(const injection_ptr& /*fault*/)
{
    control_platform({{"outage", true}});
}

void faults::end_outage(const injection_ptr& fault)
{
    control_platform({{"outage", false}});
    finish(fault);
}

void faults::lose_answers(const injection_ptr& /*fault*/)
{
    control_platform({{"lose_answers", 8}});
}

void faults::workers_fail(const injection_ptr& fault)
{
    reserve_runners(*fault, 4);
    set_mode(*fault, "fail");
}

void faults::workers_hang(const injection_ptr& fault)
{
    reserve_runners(*fault, 2);
    set_mode(*fault, "hang");
}

void faults::workers_refuse(const injection_ptr& fault)
{
    reserve_runners(*fault, 4);
    set_mode(*fault, "refuse");
}

void faults::end_worker_mode(const injection_ptr& fault)
{
    set_mode(*fault, "ok");
    finish(fault);
}

void faults::leave_by_list(const injection_ptr& fault)
{
    reserve_runners(*fault, 4);
    for (const int runner : fault->runners)
        leaving_.insert(cluster_.runners()[runner].name);
    publish_host_list();
}

void faults::leave_by_header(const injection_ptr& fault)
{
    reserve_runners(*fault, 4);
    set_mode(*fault, "leaving");
}

void faults::end_leave_by_list(const injection_ptr& fault)
{
    record_leaving(fault, 0, false);
}

void faults::end_leave_by_header(const injection_ptr& fault)
{
    record_leaving(fault, 0, true);
}

void faults::record_leaving(const injection_ptr& fault, std::size_t next, bool by_header)
{
    if (next == fault->runners.size()) {
        for (const int runner : fault->runners)
            leaving_.erase(cluster_.runners()[runner].name);
        by_header ? set_mode(*fault, "ok") : publish_host_list();
        finish(fault);
        return;
    }
    const auto& runner = cluster_.runners()[fault->runners[next]];
    cluster_.request_json(
        "GET", cluster_.upstream_url(runner.process) + "/stats", "",
        [this, fault, next, by_header, name = runner.name](const json& stats) {
            for (const auto& one : stats.value("runners", json::array())) {
                if (one["name"] != name)
                    continue;
                const auto announced =
                    by_header ? one["announced_ms"].get<wall_ms>() : fault->since;
                if (announced > 0)
                    evidence_.leaving.push_back({name, announced, one["last_start_ms"]});
            }
            record_leaving(fault, next + 1, by_header);
        });
}

} // namespace chivewharf::soak
