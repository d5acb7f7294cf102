#include "workers.h"

#include <algorithm>
#include <charconv>
#include <fleet/job_run.h>
#include <testing/support/after.h>
#include <testing/support/json_http.h>

namespace chivewharf::fleet_soak {

using fleet::order_outcome;
using nlohmann::json;
using testing_support::after;
using testing_support::json_response;

namespace {

constexpr duration tick_interval = milliseconds{4};
constexpr duration heartbeat_interval = milliseconds{1500};
constexpr duration max_stop_time = milliseconds{40};
constexpr std::size_t max_workers = 64; ///< reserved, because pointers to workers are kept
constexpr fleet::resources capacity{64000, 131072, 0};

unsigned http_status(order_outcome outcome)
{
    return outcome == order_outcome::accepted ? 200 : 409;
}

json order_answer(const fleet::order_reply& reply)
{
    json body{{"clock_ms", reply.clock_ms.value_or(0)}};
    if (reply.outcome == order_outcome::fenced)
        body["reason"] = "fence";
    else if (reply.outcome == order_outcome::stale_run)
        body["reason"] = "old";
    else if (reply.outcome == order_outcome::expired)
        body["reason"] = "late";
    return body;
}

json status_answer(const fleet::status_reply& reply)
{
    json running = json::array();
    json ended = json::array();
    for (const auto& one : reply.running)
        running.push_back({one.task, one.run, one.saved, one.percent, 0});
    for (const auto& one : reply.ended)
        ended.push_back({one.number, one.task, one.run, to_name(one.end), one.saved});
    return {{"clock_ms", reply.clock_ms},
            {"born", reply.incarnation},
            {"running", running},
            {"ended", ended}};
}

} // namespace

std::string encode_work(const task_work& work)
{
    return std::to_string(work.cpu_milli) + ' ' + std::to_string(work.run_ms);
}

std::optional<task_work> decode_work(const std::string& text)
{
    task_work work;
    const auto* end = text.data() + text.size();
    const auto first = std::from_chars(text.data(), end, work.cpu_milli);
    if (first.ec != std::errc{} || first.ptr == end)
        return std::nullopt;
    const auto second = std::from_chars(first.ptr + 1, end, work.run_ms);
    if (second.ec != std::errc{})
        return std::nullopt;
    return work;
}

standin_workers::standin_workers(standin_store& store, evidence& run_evidence, std::uint64_t seed)
    : store_{store}, evidence_{run_evidence}, random_{seed}
{
    workers_.reserve(max_workers);
    tick_.every(tick_interval, [this] { answer_due_polls(); });
    heartbeat_.every(heartbeat_interval, [this] {
        for (auto& one : workers_)
            announce(one);
    });
}

void standin_workers::add(const std::string& id, const std::string& domain,
                          const std::string& address)
{
    const auto number = workers_.size();
    auto& added = workers_.emplace_back();
    added.sim.entry = {id, address, "desk", domain, {}, capacity, 0, false};
    added.sim.clock_rate = 0.98 + 0.02 * uniform(random_);
    added.sim.speed = number % 3 == 0 ? 0.6 : number % 3 == 1 ? 1.0 : 1.6;
    added.sim.started_at = boot_clock::now() - seconds{100};
    added.sim.incarnation = wall_now_ms();
    added.server = testing_support::make_server(
        [this, number](const exchange_ptr& exchange) { handle(number, exchange); });
    testing_support::listen_or_exit(*added.server, address);
    announce(added);
}

void standin_workers::announce(served_worker& worker)
{
    const auto& entry = worker.sim.entry;
    if (!worker.listed)
        return;
    const json value{
        {"service", entry.service},
        {"address", entry.id},
        {"zone", entry.domain},
        {"version", "1"},
        {"slots", 8},
        {"state", entry.leaving ? "draining" : "ready"},
        {"sequence", ++sequence_},
        {"born", worker.sim.incarnation},
        {"capacity", {{"cpu", entry.capacity.cpu_milli}, {"mem_mb", entry.capacity.memory_mb}}},
        {"labels", {"r1-1"}}};
    store_.put("keyed.servers", entry.id, value.dump());
}

void standin_workers::crash(std::size_t worker)
{
    workers_[worker].sim.crash(boot_clock::now());
    announce(workers_[worker]);
}

void standin_workers::set_listed(std::size_t worker, bool listed)
{
    auto& changed = workers_[worker];
    changed.listed = listed;
    if (listed)
        announce(changed);
    else
        store_.put("keyed.servers", changed.sim.entry.id, "");
}

void standin_workers::set_leaving(std::size_t worker, bool leaving)
{
    workers_[worker].sim.entry.leaving = leaving;
    announce(workers_[worker]);
}

void standin_workers::handle(std::size_t number, const exchange_ptr& exchange)
{
    auto& worker = workers_[number];
    worker.sim.end_due_runs(boot_clock::now());
    const auto& path = exchange->request().path;
    if (path == "/hold")
        return poll_status(worker, exchange);
    const bool is_start = path == "/run-start";
    if (uniform(random_) >= worker.sim.fault.late_orders)
        return is_start ? start(worker, exchange) : stop(number, exchange);
    // The order is answered and carried out only after a delay, and not at all if the worker has
    // restarted by then.
    after(seconds{2} + uniform_duration(random_, seconds{4}),
          [this, number, is_start, exchange, incarnation = worker.sim.incarnation] {
              if (workers_[number].sim.incarnation != incarnation)
                  return;
              is_start ? start(workers_[number], exchange) : stop(number, exchange);
          });
}

void standin_workers::start(served_worker& worker, const exchange_ptr& exchange)
{
    const auto body = json::parse(exchange->request().body);
    fleet::start_order order;
    order.task = body["task"];
    order.run = body["run"];
    order.payload = body["spec"];
    order.token = body["fence"];
    order.expires_at_ms = body["deadline_ms"];
    const auto work = decode_work(order.payload).value_or(task_work{});
    testing_support::sim_worker::task_plan plan;
    plan.demand.cpu_milli = work.cpu_milli;
    plan.fails = worker.sim.fault.fails_tasks;
    const double factor = (0.7 + 0.7 * uniform(random_)) / worker.sim.speed;
    plan.run_time = worker.sim.fault.hangs_tasks
                        ? seconds{1000}
                        : from_seconds(factor * static_cast<double>(work.run_ms) / 1000);
    bool began = false;
    const auto reply = worker.sim.start(order, plan, boot_clock::now(), began);
    if (began)
        check_start(worker, order.task, order.payload);
    if (uniform(random_) >= worker.sim.fault.lost_answers)
        exchange->respond(json_response(http_status(reply.outcome), order_answer(reply)));
}

void standin_workers::check_start(const served_worker& worker, const std::string& task,
                                  const std::string& payload)
{
    ++evidence_.starts;
    const auto now = boot_clock::now();
    if (worker.sim.over_capacity())
        evidence_.violation("capacity of " + worker.sim.entry.id + " exceeded by " + task);
    for (auto& other : workers_) {
        if (&other == &worker)
            continue;
        other.sim.end_due_runs(now);
        if (other.sim.running.contains(task))
            evidence_.violation("two runs of " + task + " on " + worker.sim.entry.id + " and " +
                                other.sim.entry.id);
    }
    const auto job = evidence_.jobs.find(fleet::job_run::job_of(task));
    if (job == evidence_.jobs.end() || job->second.payload != payload) {
        evidence_.violation("start of " + task + " that no caller asked for");
        return;
    }
    job->second.started = true;
    if (job->second.refused)
        evidence_.violation("start of " + task + " after a refusal that said it had not run");
}

void standin_workers::stop(std::size_t number, const exchange_ptr& exchange)
{
    auto& worker = workers_[number];
    const auto body = json::parse(exchange->request().body);
    fleet::stop_order order;
    order.task = body["task"];
    order.run = body["run"];
    order.token = body["fence"];
    const auto reply = worker.sim.stop(order, boot_clock::now());
    if (reply.outcome == order_outcome::accepted)
        after(uniform_duration(random_, max_stop_time),
              [this, number, task = order.task, run = order.run,
               incarnation = worker.sim.incarnation] {
                  if (workers_[number].sim.incarnation == incarnation)
                      workers_[number].sim.end_stopped(task, run);
              });
    if (uniform(random_) >= worker.sim.fault.lost_answers)
        exchange->respond(json_response(http_status(reply.outcome), order_answer(reply)));
}

void standin_workers::poll_status(served_worker& worker, const exchange_ptr& exchange)
{
    const auto body = json::parse(exchange->request().body);
    const auto now = boot_clock::now();
    fleet::status_request request;
    request.token = body["fence"];
    request.acknowledged_end = body["seen_upto"];
    if (body.contains("deadline_ms"))
        request.expires_at_ms = body["deadline_ms"].get<std::int64_t>();
    const auto wait = milliseconds{body.value("wait_ms", 0)};
    const auto reply = worker.sim.poll_status(request, now);
    if (reply.outcome != order_outcome::accepted)
        return exchange->respond(json_response(http_status(reply.outcome),
                                               order_answer({reply.outcome, reply.clock_ms, now})));
    if (!reply.ended.empty() || wait == milliseconds{0})
        return exchange->respond(json_response(200, status_answer(reply)));
    // The lease was renewed when the poll arrived; later answers must not renew it again.
    request.expires_at_ms.reset();
    worker.pending_polls.push_back({exchange, request, now + wait});
}

void standin_workers::answer_due_polls()
{
    const auto now = boot_clock::now();
    for (auto& worker : workers_) {
        worker.sim.end_due_runs(now);
        for (auto it = worker.pending_polls.begin(); it != worker.pending_polls.end();) {
            const auto reply = worker.sim.poll_status(it->request, now);
            if (reply.outcome == order_outcome::accepted && reply.ended.empty() &&
                now < it->deadline) {
                ++it;
                continue;
            }
            const auto exchange = it->exchange;
            it = worker.pending_polls.erase(it);
            exchange->respond(
                reply.outcome == order_outcome::accepted
                    ? json_response(200, status_answer(reply))
                    : json_response(409, order_answer({reply.outcome, reply.clock_ms, now})));
        }
    }
}

} // namespace chivewharf::fleet_soak
