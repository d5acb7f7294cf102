// The cases of the review. Each returns 1 if the rule was broken, 0 if it held, 2 if it couldn't
// run.

int count_of(deployment& system, const std::string& rule)
{
    const std::lock_guard lock{system.runners.mutex};
    const auto& all = system.runners.violations;
    return static_cast<int>(std::count_if(
        all.begin(), all.end(), [&](const std::string& one) { return one.starts_with(rule); }));
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

/// TWICE: a machine that wakes hands in again a job whose client has left it meanwhile.
int restored_for_a_client_that_left(deployment& system, bool disrupted)
{
    constexpr int rounds = 8;
    constexpr std::int64_t frozen_ms = 3000;
    constexpr std::int64_t reset_after_ms = 200;
    system.build(8, 64000);
    system.start_all();
    system.wait_until_ready();
    const auto coordinator = bystander(system, "north");
    if (coordinator.empty())
        return 2;
    const std::string other_machine =
        coordinator == "edge-north-3" ? "edge-north-2" : "edge-north-3";
    auto& machine = system.named(coordinator);
    // Another client's job keeps a task on each runner of the zone.
    const json others = json::array({{{"count", 8},
                                      {"cpu", 8000},
                                      {"mem_mb", 64},
                                      {"estimate_ms", 70000},
                                      {"anti_affinity", 1},
                                      {"work_ms", 70000}}});
    std::thread other{[&system, other_machine, others] {
        submit(system, job_id(8000), {other_machine}, others, 90000);
    }};
    other.detach();
    sleep_ms(500);
    const json steps = json::array(
        {{{"count", 2}, {"cpu", 27000}, {"mem_mb", 64}, {"estimate_ms", 2500}, {"work_ms", 2500}}});
    for (int round = 0; round < rounds; ++round) {
        const auto id = job_id(round);
        const int connection = connect_to(machine.callers);
        note("POST    " + id + " to " + coordinator);
        send_all(connection,
                 request_text("POST", "/jobs/" + id, job_body(system, id, steps), 8000));
        sleep_ms(300);
        if (disrupted)
            kill(machine.pid, SIGSTOP);
        note(disrupted ? "FREEZE  " + coordinator : "nothing is frozen");
        const auto frozen_at = now_ms();
        sleep_ms(reset_after_ms);
        if (disrupted) {
            note("RESET   the connection of " + id + " to " + coordinator);
            reset(connection);
        }
        else {
            std::string buffer;
            read_message(connection, buffer, now_ms() + 8000);
            close(connection);
        }
        std::thread caller{[&] {
            if (!disrupted)
                return;
            sleep_ms(resend_ms);
            submit(system, id, {"edge-south-1"}, steps, 8000);
        }};
        sleep_ms(frozen_at + frozen_ms - now_ms());
        if (disrupted)
            kill(machine.pid, SIGCONT);
        note("AWAKE   " + coordinator);
        caller.join();
        sleep_ms(500);
    }
    return count_of(system, "TWICE") > 0 ? 1 : 0;
}

const std::map<std::string, int (*)(deployment&, bool)> cases{
    {"gang-after-a-freeze", gang_after_a_freeze},
    {"late-copy-of-a-cancelled-job", late_copy_of_a_cancelled_job},
    {"restored-for-a-client-that-left", restored_for_a_client_that_left},
    {"spread-after-a-freeze", spread_after_a_freeze},
};
