#include "faults.h"

#include <algorithm>
#include <csignal>
#include <iostream>
#include <limits>
#include <runtime/timer.h>

namespace chivewharf::soak {

namespace {

constexpr wall_ms stop_limit_ms = 30000;

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
    {"platform outage", {3300, &faults::outage, &faults::end_outage}},
    {"lost appends", {3000, &faults::lose_answers, &faults::finish}},
    {"workers fail", {2000, &faults::workers_fail, &faults::workers_back}},
    {"workers hang", {2000, &faults::workers_hang, &faults::workers_back}},
    {"workers refuse", {1500, &faults::workers_refuse, &faults::workers_back}},
    {"leaving (list)", {4000, &faults::leave_by_list, &faults::listed_back}},
    {"leaving (header)", {4000, &faults::leave_by_header, &faults::header_back}},
};

faults::faults(cluster& all, evidence& seen, std::uint64_t seed)
    : all_{all}, seen_{seen}, random_{seed}
{
}

std::vector<std::string> faults::names() const
{
    std::vector<std::string> out;
    out.reserve(kinds.size());
    for (const auto& [name, how] : kinds)
        out.push_back(name);
    return out;
}

void faults::inject(const std::string& name, std::function<void()> done)
{
    const auto& how = kinds.at(name);
    const auto of = std::make_shared<injection>();
    of->window = seen_.windows.size();
    of->done = std::move(done);
    of->since = wall_now_ms();
    seen_.windows.push_back({name, of->since, std::numeric_limits<wall_ms>::max() / 2});
    (this->*how.begin)(of);
    std::cout << "fault=\"" << name << '"';
    for (const int entry : of->entries)
        std::cout << " entry=" << entry + 1;
    for (const int runner : of->runners)
        std::cout << " runner=" << all_.runners()[runner].name;
    std::cout << " at=" << of->since << std::endl;
    after(milliseconds{how.hold_ms}, [this, of, end = how.end] { (this->*end)(of); });
}

void faults::finish(const injection_ptr& of)
{
    seen_.windows[of->window].to = wall_now_ms();
    for (const int entry : of->entries)
        busy_entries_.erase(entry);
    for (const int runner : of->runners)
        busy_runners_.erase(runner);
    of->done();
}

int faults::take_entry(injection& of)
{
    int entry = 0;
    do
        entry = static_cast<int>(below(entry_count));
    while (busy_entries_.contains(entry));
    busy_entries_.insert(entry);
    of.entries.push_back(entry);
    return entry;
}

void faults::take_runners(injection& of, int count)
{
    while (static_cast<int>(of.runners.size()) < count) {
        const auto runner = static_cast<int>(below(all_.runners().size()));
        if (busy_runners_.insert(runner).second)
            of.runners.push_back(runner);
    }
}

relay::selector faults::other_domains(int domain) const
{
    return [domain](const route_name& one) {
        return one.kind == target_kind::peer &&
               (entry_domain[one.from] == domain) != (entry_domain[one.to] == domain);
    };
}

void faults::control_platform(const json& wanted)
{
    all_.ask("POST", all_.platform_url() + "/control", wanted.dump(), [](const json&) {});
}

void faults::set_mode(const injection& of, const std::string& mode)
{
    for (const int number : of.runners) {
        const auto& runner = all_.runners()[number];
        all_.ask("POST",
                 all_.upstream_url(runner.process) + "/mode?runner=" + runner.name +
                     "&mode=" + mode,
                 "", [](const json&) {});
    }
}

void faults::publish_list()
{
    control_platform({{"hosts", all_.host_list({leaving_.begin(), leaving_.end()})}});
}

void faults::kill(const injection_ptr& of)
{
    all_.send_signal(all_.entries()[take_entry(*of)], SIGKILL);
}

void faults::restart(const injection_ptr& of)
{
    all_.start(all_.entries()[of->entries.front()]);
    finish(of);
}

void faults::pause(const injection_ptr& of)
{
    auto& one = all_.entries()[take_entry(*of)];
    one.paused = true;
    all_.send_signal(one, SIGSTOP);
}

void faults::resume(const injection_ptr& of)
{
    auto& one = all_.entries()[of->entries.front()];
    all_.send_signal(one, SIGCONT);
    one.paused = false;
    finish(of);
}

void faults::stop(const injection_ptr& of)
{
    const int entry = take_entry(*of);
    auto& one = all_.entries()[entry];
    one.on_exit = [this, of, entry, incarnation = one.starts](int code) {
        seen_.stops.push_back({entry, incarnation, of->since, wall_now_ms(), code});
        all_.start(all_.entries()[entry]);
        finish(of);
    };
    all_.send_signal(one, SIGTERM);
    // The load balancer polls /readyz; it may still choose the host for a part of the notice.
    after(milliseconds{drain_notice_ms / 2}, [&one] { one.stopping = true; });
}

void faults::wait_for_stop(const injection_ptr& of)
{
    if (seen_.windows[of->window].to < wall_now_ms() + stop_limit_ms)
        return;
    if (wall_now_ms() - of->since < stop_limit_ms) {
        after(milliseconds{100}, [this, of] { wait_for_stop(of); });
        return;
    }
    const int entry = of->entries.front();
    auto& one = all_.entries()[entry];
    seen_.observed.push_back(
        {7, one.name + " did not stop within 30 s, log " + one.log, of->since, wall_now_ms()});
    all_.send_signal(one, SIGKILL);
}

void faults::silence_peers(const injection_ptr& of)
{
    const int entry = take_entry(*of);
    all_.net().silence_open([entry](const route_name& one) {
        return one.kind == target_kind::peer && (one.from == entry || one.to == entry);
    });
}

void faults::mute_peers(const injection_ptr& of)
{
    of->disturbed = all_.net().begin(disturbance::mute, other_domains(static_cast<int>(below(3))));
}

void faults::mute_runners(const injection_ptr& of)
{
    take_runners(*of, 2);
    of->disturbed =
        all_.net().begin(disturbance::mute, [runners = of->runners](const route_name& one) {
            return one.kind == target_kind::runner &&
                   std::find(runners.begin(), runners.end(), one.to) != runners.end();
        });
}

void faults::silence_runners(const injection_ptr& of)
{
    const int entry = take_entry(*of);
    all_.net().silence_open([entry](const route_name& one) {
        return one.kind == target_kind::runner && one.from == entry && one.to % 2 == 0;
    });
}

void faults::mute_platform(const injection_ptr& of)
{
    const int domain = static_cast<int>(below(3));
    of->disturbed = all_.net().begin(disturbance::mute, [domain](const route_name& one) {
        return one.kind == target_kind::platform && entry_domain[one.from] == domain;
    });
}

void faults::end_disturbance(const injection_ptr& of)
{
    all_.net().end(of->disturbed);
    finish(of);
}

void faults::cut_domain(const injection_ptr& of)
{
    of->disturbed = all_.net().begin(disturbance::cut, other_domains(static_cast<int>(below(3))));
}

void faults::cut_platform(const injection_ptr& of)
{
    const int domain = static_cast<int>(below(3));
    of->disturbed = all_.net().begin(disturbance::cut, [domain](const route_name& one) {
        return one.kind == target_kind::platform && entry_domain[one.from] == domain;
    });
}

void faults::cut_runners(const injection_ptr& of)
{
    const int entry = take_entry(*of);
    of->disturbed = all_.net().begin(disturbance::cut, [entry](const route_name& one) {
        return one.kind == target_kind::runner && one.from == entry;
    });
}

void faults::outage(const injection_ptr& /*of*/)
{
    control_platform({{"outage", true}});
}

void faults::end_outage(const injection_ptr& of)
{
    control_platform({{"outage", false}});
    finish(of);
}

void faults::lose_answers(const injection_ptr& /*of*/)
{
    control_platform({{"lose_answers", 8}});
}

void faults::workers_fail(const injection_ptr& of)
{
    take_runners(*of, 4);
    set_mode(*of, "fail");
}

void faults::workers_hang(const injection_ptr& of)
{
    take_runners(*of, 2);
    set_mode(*of, "hang");
}

void faults::workers_refuse(const injection_ptr& of)
{
    take_runners(*of, 4);
    set_mode(*of, "refuse");
}

void faults::workers_back(const injection_ptr& of)
{
    set_mode(*of, "ok");
    finish(of);
}

void faults::leave_by_list(const injection_ptr& of)
{
    take_runners(*of, 4);
    for (const int runner : of->runners)
        leaving_.insert(all_.runners()[runner].name);
    publish_list();
}

void faults::leave_by_header(const injection_ptr& of)
{
    take_runners(*of, 4);
    set_mode(*of, "leaving");
}

void faults::listed_back(const injection_ptr& of)
{
    read_leaving(of, 0, false);
}

void faults::header_back(const injection_ptr& of)
{
    read_leaving(of, 0, true);
}

void faults::read_leaving(const injection_ptr& of, std::size_t next, bool by_header)
{
    if (next == of->runners.size()) {
        for (const int runner : of->runners)
            leaving_.erase(all_.runners()[runner].name);
        by_header ? set_mode(*of, "ok") : publish_list();
        finish(of);
        return;
    }
    const auto& runner = all_.runners()[of->runners[next]];
    all_.ask("GET", all_.upstream_url(runner.process) + "/stats", "",
             [this, of, next, by_header, name = runner.name](const json& stats) {
                 for (const auto& one : stats.value("runners", json::array())) {
                     if (one["name"] != name)
                         continue;
                     const auto announced =
                         by_header ? one["announced_ms"].get<wall_ms>() : of->since;
                     if (announced > 0)
                         seen_.leaving.push_back({name, announced, one["last_start_ms"]});
                 }
                 read_leaving(of, next + 1, by_header);
             });
}

} // namespace chivewharf::soak
