#include "sim_worker.h"

#include <algorithm>

namespace chivewharf::testing_support {

using fleet::order_outcome;
using fleet::order_reply;
using fleet::status_reply;
using fleet::task_end;

std::int64_t sim_worker::clock(time_point now) const
{
    return static_cast<std::int64_t>(to_seconds(now - started_at) * 1000 * clock_rate);
}

time_point sim_worker::lease_end(time_point now) const
{
    const auto left = static_cast<double>(lease_ms - clock(now)) / 1000 / clock_rate;
    return now + from_seconds(left) + milliseconds{1};
}

void sim_worker::end(const std::string& task, task_end how)
{
    const auto found = running.find(task);
    ended.push_back({++ends, task, found->second.run, how, {}});
    auto& highest = stopped[task];
    highest = std::max(highest, found->second.run);
    running.erase(found);
}

bool sim_worker::end_due_runs(time_point now)
{
    std::vector<std::pair<std::string, task_end>> due;
    const auto time = clock(now);
    for (const auto& [task, run] : running) {
        if (time >= lease_ms)
            due.emplace_back(task, task_end::lapsed);
        else if (now >= run.ends)
            due.emplace_back(task, run.fails ? task_end::failed : task_end::done);
    }
    for (const auto& [task, how] : due)
        end(task, how);
    return !due.empty();
}

order_reply sim_worker::accept_token(std::uint64_t order_token, time_point now)
{
    order_reply reply;
    reply.clock_ms = clock(now);
    reply.outcome = order_token < token ? order_outcome::fenced : order_outcome::accepted;
    token = std::max(token, order_token);
    return reply;
}

order_reply sim_worker::start(const fleet::start_order& order, const task_plan& plan,
                              time_point now, bool& began)
{
    began = false;
    auto reply = accept_token(order.token, now);
    if (reply.outcome != order_outcome::accepted)
        return reply;
    const auto time = clock(now);
    const auto current = running.find(order.task);
    if (current != running.end() && current->second.run == order.run)
        return reply;
    const auto highest = stopped.find(order.task);
    if (current != running.end() || (highest != stopped.end() && highest->second >= order.run)) {
        reply.outcome = order_outcome::stale_run;
        return reply;
    }
    if (order.expires_at_ms <= time) {
        reply.outcome = order_outcome::expired;
        return reply;
    }
    lease_ms = std::max(lease_ms, std::min(order.expires_at_ms, time + max_lease_ms));
    running[order.task] = {order.run, plan.demand, now, now + plan.run_time, plan.fails};
    began = true;
    return reply;
}

order_reply sim_worker::stop(const fleet::stop_order& order, time_point now)
{
    const auto reply = accept_token(order.token, now);
    if (reply.outcome != order_outcome::accepted)
        return reply;
    auto& highest = stopped[order.task];
    highest = std::max(highest, order.run);
    return reply;
}

bool sim_worker::end_stopped(const std::string& task, std::uint32_t run)
{
    const auto found = running.find(task);
    if (found == running.end() || found->second.run != run)
        return false;
    end(task, task_end::stopped);
    return true;
}

status_reply sim_worker::poll_status(const fleet::status_request& request, time_point now)
{
    status_reply reply;
    reply.clock_ms = clock(now);
    reply.incarnation = incarnation;
    reply.outcome = accept_token(request.token, now).outcome;
    if (reply.outcome != order_outcome::accepted)
        return reply;
    if (request.expires_at_ms)
        lease_ms =
            std::max(lease_ms, std::min(*request.expires_at_ms, reply.clock_ms + max_lease_ms));
    std::erase_if(ended,
                  [&](const auto& listed) { return listed.number <= request.acknowledged_end; });
    reply.ended = ended;
    for (const auto& [task, run] : running) {
        const auto total = to_seconds(run.ends - run.began);
        reply.running.push_back(
            {task, run.run, {}, static_cast<int>(100 * to_seconds(now - run.began) / total)});
    }
    return reply;
}

void sim_worker::crash(time_point now)
{
    running.clear();
    stopped.clear();
    ended.clear();
    ends = 0;
    token = 0;
    lease_ms = 0;
    started_at = now;
    incarnation += 1;
}

bool sim_worker::over_capacity() const
{
    fleet::resources used;
    for (const auto& [task, run] : running)
        used += run.demand;
    return !entry.capacity.fits(used);
}

} // namespace chivewharf::testing_support
