#include <policy/decision_cost.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <deque>
#include <dispatch/dispatch.h>

namespace chivewharf::policy {

namespace {

using timer = std::chrono::steady_clock;

constexpr unsigned customers = 120;
constexpr unsigned slots = 8;
constexpr unsigned job_tasks = 30;
constexpr unsigned measured_ends = 200'000;
constexpr unsigned backlog = 2000;

std::shared_ptr<settings::cluster_settings> make_settings(unsigned workers)
{
    auto s = std::make_shared<settings::cluster_settings>();
    s->services.push_back({.name = "plugdesk"});
    s->domains.push_back({"d", "r"});
    s->key_domains.push_back("d");
    s->entry_hosts.push_back({"entry", "d", {"10.1.0.1", 1000}, 1});
    for (unsigned c = 0; c < customers; ++c)
        s->customers.emplace_back().name = "customer-" + std::to_string(c);
    for (unsigned w = 0; w < workers; ++w)
        s->upstreams.push_back({"worker-" + std::to_string(w),
                                {"10.2.0.1", static_cast<std::uint16_t>(1000 + w)},
                                "d",
                                "plugdesk",
                                slots,
                                60});
    s->policy.answer_retention = seconds{1};
    s->policy.table_max_bytes = 1LL << 30;
    return s;
}

std::string job_body(rng& random)
{
    std::string body = R"({"service":"plugdesk","deadline_ms":30000,"tasks":[)";
    for (unsigned i = 0; i < job_tasks; ++i) {
        body += i > 0 ? "," : "";
        body += R"({"kind":"kind-)" + std::to_string(random() % 10) +
                R"(","declared_ms":200,"payload":1})";
    }
    return body + "]}";
}

void measure(unsigned workers)
{
    rng random{20261204};
    metrics::registry metrics;
    time_point now{seconds{1000}};
    const auto clock = [&] { return dispatch::clock_reading{now, to_ms(now.time_since_epoch())}; };
    dispatch::entry_host host{
        {"d", "entry", 1}, "10.1.0.1:1000", make_settings(workers), metrics, 1, now,
        {.limits = false}};
    host.use_initial_settings(clock());
    std::deque<dispatch::call_id> running;
    std::vector<dispatch::action> actions;
    const auto collect_calls = [&] {
        actions = host.take_actions();
        for (const auto& action : actions) {
            if (const auto* sent = std::get_if<dispatch::send_task>(&action))
                running.push_back(sent->call);
        }
    };
    timer::duration in_requests{};
    timer::duration in_ends{};
    std::uint64_t requests = 0;
    std::uint64_t ends = 0;
    std::uint64_t queued = 0;
    submission::waiter waiter = 1;
    const auto end_time = std::chrono::microseconds{1'000'000 / (4 * slots) / workers + 1};
    while (ends < measured_ends) {
        while (queued < backlog + running.size()) {
            const auto body = job_body(random);
            const auto id = host.issue_ids(1, clock()).front();
            const auto from = timer::now();
            host.request({waiter++, wire::operation::submit,
                          "customer-" + std::to_string(random() % customers), id, body,
                          std::nullopt},
                         clock());
            collect_calls();
            in_requests += timer::now() - from;
            ++requests;
            queued += job_tasks;
        }
        now += end_time;
        if (ends % 100 == 0) {
            host.tick(clock());
            collect_calls();
        }
        // End tasks out of order.
        std::swap(running.front(), running[random() % std::min<std::size_t>(running.size(), 64)]);
        const auto call = running.front();
        running.pop_front();
        const auto from = timer::now();
        host.task_ended(call, {dispatch::call_end::answered, "1", {}, false}, clock());
        collect_calls();
        in_ends += timer::now() - from;
        ++ends;
        --queued;
    }
    const auto average_us = [](timer::duration d, std::uint64_t n) {
        return std::chrono::duration<double, std::micro>(d).count() / static_cast<double>(n);
    };
    const double end_cost = average_us(in_ends, ends);
    const double job_cost = average_us(in_requests, requests) / job_tasks;
    std::printf("workers=%u task_end_and_start_us=%.2f admission_us_a_task=%.2f sum_us=%.2f\n",
                workers, end_cost, job_cost, end_cost + job_cost);
}

} // namespace

void print_decision_cost()
{
    std::printf("target: at most 5 us for each task start at 340 workers, less than linear\n");
    for (const auto workers : {50U, 340U, 1700U})
        measure(workers);
}

} // namespace chivewharf::policy
