// The cases of the review. Each returns 1 if the rule was broken, 0 if it held, 2 if it couldn't
// run.

int count_of(deployment& system, const std::string& rule)
{
    const std::lock_guard lock{system.runners.mutex};
    const auto& all = system.runners.violations;
    return static_cast<int>(std::count_if(
        all.begin(), all.end(), [&](const std::string& one) { return one.starts_with(rule); }));
}

/// UNASKED: a machine that is cut off from the others acknowledges the cancelling of a job that
/// another one coordinates.
int cancel_at_a_cut_machine(deployment& system, bool disrupted)
{
    constexpr std::int64_t cut_ms = 5500;
    system.build(8, 64000, true);
    system.start_all();
    system.wait_until_ready();
    // Six steps, one after the other, of 0.9 s each.
    json steps = json::array();
    for (int i = 0; i < 6; ++i) {
        json step{
            {"count", 2}, {"cpu", 27000}, {"mem_mb", 64}, {"estimate_ms", 900}, {"work_ms", 900}};
        if (i > 0)
            step["depends_on"] = {i - 1};
        steps.push_back(step);
    }
    const auto id = job_id(1);
    const std::string coordinator = "edge-north-2";
    const std::string cancelled_at = "edge-south-2";
    if (disrupted) {
        system.cut_off(system.index_of(cancelled_at), true);
        note("CUT     " + cancelled_at + " is cut off from all other machines of the system");
    }
    const auto cut_at = now_ms();
    sleep_ms(1000);
    std::thread caller{[&] { submit(system, id, {coordinator}, steps, 12000); }};
    sleep_ms(400);
    const auto body = std::string{};
    note(cancelled_at + (system.ready(system.named(cancelled_at)) ? " is ready" : " isn't ready"));
    note("DELETE  " + id + " to " + cancelled_at);
    const auto cancelled = call(system.named(cancelled_at), "DELETE", "/jobs/" + id, body, 3000);
    note("answer  " + id + " cancel: " + std::to_string(cancelled.status));
    if ((cancelled.status >= 200 && cancelled.status < 300) || cancelled.status == 410) {
        const std::lock_guard lock{system.runners.mutex};
        system.runners.jobs[id].cancel_acked = now_ms();
    }
    sleep_ms(cut_at + cut_ms - now_ms());
    if (disrupted) {
        system.cut_off(system.index_of(cancelled_at), false);
        note("HEALED  " + cancelled_at);
    }
    sleep_ms(2500);
    caller.join();
    return count_of(system, "UNASKED") > 0 ? 1 : 0;
}

/// A machine of the zone that doesn't start the zone's tasks; empty if there is none.
std::string bystander(deployment& system, const std::string& zone)
{
    const auto starter = find_starter(system, job_id(9000), "edge-" + zone + "-1");
    for (const auto& one : system.machines) {
        if (one.zone == zone && one.name != starter && !starter.empty())
            return one.name;
    }
    return {};
}

/// Freezes the machine for a time.
void freeze(machine& one, std::int64_t ms)
{
    note("FREEZE  " + one.name + " for " + std::to_string(ms) + " ms");
    kill(one.pid, SIGSTOP);
    sleep_ms(ms);
    kill(one.pid, SIGCONT);
    note("AWAKE   " + one.name);
}

/// TWICE: a gang is started again while tasks of its former run are still being stopped.
int gang_after_a_freeze(deployment& system, bool disrupted)
{
    constexpr int rounds = 16;
    constexpr std::int64_t shortest_ms = 700;
    constexpr std::int64_t step_ms = 10;
    system.runners.stop_time = [](const runner_pool::runner&) { return stop_grace_ms - 5; };
    system.build(8, 64000);
    system.start_all();
    system.wait_until_ready();
    const auto coordinator = bystander(system, "north");
    if (coordinator.empty())
        return 2;
    const json steps = json::array({{{"count", 3},
                                     {"cpu", 40000},
                                     {"mem_mb", 64},
                                     {"estimate_ms", 1800},
                                     {"gang", true},
                                     {"work_ms", 1800}}});
    for (int round = 0; round < rounds; ++round) {
        std::thread caller{[&] { submit(system, job_id(round), {coordinator}, steps, 8000); }};
        sleep_ms(300);
        if (disrupted)
            freeze(system.named(coordinator), shortest_ms + round * step_ms);
        caller.join();
        sleep_ms(300);
    }
    return count_of(system, "TWICE") > 0 ? 1 : 0;
}

/// ROUTE: tasks start on a runner that still runs others of their step, beyond `anti_affinity`.
int spread_after_a_freeze(deployment& system, bool disrupted)
{
    constexpr int rounds = 24;
    constexpr std::int64_t shortest_ms = 740;
    constexpr std::int64_t step_ms = 5;
    system.runners.stop_time = [](const runner_pool::runner& one) {
        return one.id == "r-north-0" ? std::int64_t{5} : stop_grace_ms - 5;
    };
    system.build(8, 64000);
    system.start_all();
    system.wait_until_ready();
    const auto coordinator = bystander(system, "north");
    if (coordinator.empty())
        return 2;
    const json steps = json::array({{{"count", 3},
                                     {"cpu", 20000},
                                     {"mem_mb", 64},
                                     {"estimate_ms", 1800},
                                     {"anti_affinity", 1},
                                     {"work_ms", 1800}}});
    for (int round = 0; round < rounds; ++round) {
        std::thread caller{[&] { submit(system, job_id(round), {coordinator}, steps, 8000); }};
        sleep_ms(300);
        if (disrupted)
            freeze(system.named(coordinator), shortest_ms + round * step_ms);
        caller.join();
        sleep_ms(300);
    }
    return count_of(system, "ROUTE") > 0 ? 1 : 0;
}

/// TWICE: runners leave a share of the orders unanswered and carry them out late; a job that its
/// client hands in again starts elsewhere while the former run goes on under a lease that is
/// renewed.
int resend_beside_late_stops(deployment& system, bool disrupted)
{
    constexpr double share = 0.5;
    constexpr std::int64_t window_ms = 5500;
    constexpr int windows = 8;
    system.build(16, 64000);
    std::atomic<bool> late{false};
    system.runners.late = [&](const runner_pool::runner&, const std::string&,
                              std::int64_t& late_ms) {
        late_ms = 2000 + static_cast<std::int64_t>(uniform() * 10000);
        return late && uniform() < share;
    };
    system.start_all();
    system.wait_until_ready();
    // The work takes three times its estimate, longer than the clients wait.
    const json steps = json::array(
        {{{"count", 2}, {"cpu", 27000}, {"mem_mb", 64}, {"estimate_ms", 1200}, {"work_ms", 3600}}});
    const std::vector<std::vector<std::string>> ways{{"edge-north-1", "edge-middle-1"},
                                                     {"edge-middle-2", "edge-south-1"},
                                                     {"edge-south-2", "edge-north-2"}};
    std::vector<std::thread> callers;
    int number = 0;
    for (int window = 0; window < windows; ++window) {
        late = disrupted;
        note(disrupted ? "LATE    begins" : "no orders are late");
        const auto until = now_ms() + window_ms;
        while (now_ms() < until) {
            for (const auto& way : ways)
                callers.emplace_back([&system, way, steps, id = job_id(++number)] {
                    submit(system, id, way, steps, 1500);
                });
            sleep_ms(250);
        }
        late = false;
        note("LATE    ends");
        sleep_ms(4500);
    }
    for (auto& one : callers)
        one.join();
    return count_of(system, "TWICE") > 0 ? 1 : 0;
}

/// UNASKED: a late copy of a cancelled job's request is run by a machine that was not told of the
/// cancelling.
int late_copy_of_a_cancelled_job(deployment& system, bool disrupted)
{
    constexpr std::int64_t copy_after_ms = 4000;
    const std::vector<std::vector<std::string>> ways{{"edge-north-1", "edge-south-1"},
                                                     {"edge-middle-2", "edge-north-3"},
                                                     {"edge-south-2", "edge-middle-1"}};
    system.build(8, 64000);
    system.start_all();
    system.wait_until_ready();
    const json steps = json::array(
        {{{"count", 2}, {"cpu", 27000}, {"mem_mb", 64}, {"estimate_ms", 900}, {"work_ms", 900}}});
    int number = 0;
    for (const auto& way : ways) {
        const auto id = job_id(++number);
        std::thread caller{[&] { submit(system, id, {way[0]}, steps, 1500); }};
        sleep_ms(300);
        note("DELETE  " + id + " to " + way[0]);
        const auto cancelled = call(system.named(way[0]), "DELETE", "/jobs/" + id, {}, 3000);
        note("answer  " + id + " cancel: " + std::to_string(cancelled.status));
        caller.join();
        if (cancelled.status != 200)
            return 2;
        {
            const std::lock_guard lock{system.runners.mutex};
            system.runners.jobs[id].cancel_acked = now_ms();
        }
        sleep_ms(copy_after_ms);
        if (!disrupted)
            continue;
        note("COPY    of the request of " + id + " arrives late");
        submit(system, id, {way[1]}, steps, 1500);
    }
    return count_of(system, "UNASKED") > 0 ? 1 : 0;
}

const std::map<std::string, int (*)(deployment&, bool)> cases{
    {"cancel-at-a-cut-machine", cancel_at_a_cut_machine},
    {"gang-after-a-freeze", gang_after_a_freeze},
    {"late-copy-of-a-cancelled-job", late_copy_of_a_cancelled_job},
    {"spread-after-a-freeze", spread_after_a_freeze},
    {"resend-beside-late-stops", resend_beside_late_stops},
};
