#include <daemon/upstream_gateway.h>

#include <algorithm>
#include <runtime/http_client_call.h>

namespace chivewharf::daemon {

using dispatch::call_end;
using runtime::call_outcome;

namespace {

constexpr std::size_t max_answer_bytes = 1U << 20U;

call_end to_call_end(const runtime::call_result& result)
{
    switch (result.outcome) {
    case call_outcome::answered:
        if (!result.header("Chivewharf-Not-Run").empty())
            return call_end::refused;
        return result.status == 200 ? call_end::answered : call_end::failed;
    case call_outcome::not_sent:
        return call_end::not_sent;
    case call_outcome::withheld:
        return call_end::withheld;
    case call_outcome::lost:
        return call_end::lost;
    case call_outcome::timed_out:
        return call_end::silent;
    case call_outcome::truncated:
        return call_end::truncated;
    case call_outcome::too_large:
        return call_end::too_large;
    case call_outcome::cancelled:
        return call_end::aborted;
    }
    return call_end::lost;
}

std::string describe(const runtime::call_result& result, call_end end)
{
    if (end == call_end::failed)
        return "the runner answered with status " + std::to_string(result.status);
    return result.message;
}

} // namespace

result<void, runtime::runtime_error>
upstream_gateway::start(std::function<void(runtime::runtime_error)> /*failed*/)
{
    const auto& settings = loop_.core().settings();
    runtime::http_client_limits limits;
    limits.max_connections = static_cast<int>(settings.policy.upstream_max_connections);
    // The worker pool enforces the limit of each worker, so the client only needs the maximum.
    for (const auto& worker : settings.upstreams)
        limits.max_connections_per_host =
            std::max(limits.max_connections_per_host, static_cast<int>(worker.connections));
    client_ = std::make_unique<runtime::http_client>(limits);
    return {};
}

void upstream_gateway::stop()
{
    for (auto& [id, call] : calls_)
        call->abandon();
    calls_.clear();
    client_.reset();
}

void upstream_gateway::send(dispatch::send_task task)
{
    runtime::http_call call;
    call.url = "http://" + task.address + "/v1/tasks";
    call.headers = {{"Chivewharf-Task", std::move(task.task)},
                    {"Chivewharf-Attempt", std::to_string(task.attempt)},
                    {"Chivewharf-Deadline-Ms", std::to_string(to_ms(task.remaining))},
                    {"Chivewharf-Start-By", std::to_string(task.start_by)},
                    {"Chivewharf-Customer", std::move(task.customer)}};
    if (!task.kind.empty())
        call.headers.push_back({"Chivewharf-Kind", std::move(task.kind)});
    call.body = std::move(task.payload);
    call.timeout = task.remaining;
    call.max_response_bytes = max_answer_bytes;
    const auto id = task.call;
    calls_.emplace(
        id, client_->send(
                std::move(call),
                [this, id](runtime::call_result result) { call_ended(id, std::move(result)); },
                [this, id] { return loop_.core().confirm_start(id, boot_clock::now()); }));
}

void upstream_gateway::abort(const dispatch::abort_call& action)
{
    if (const auto found = calls_.find(action.call); found != calls_.end())
        found->second->cancel();
}

void upstream_gateway::call_ended(dispatch::call_id id, runtime::call_result result)
{
    calls_.erase(id);
    dispatch::call_report report;
    report.end = to_call_end(result);
    report.message = describe(result, report.end);
    report.leaving =
        result.outcome == call_outcome::answered && !result.header("Chivewharf-Leaving").empty();
    if (report.end == call_end::answered)
        report.body = std::move(result.body);
    loop_.event([&](auto& core, const auto& at) { core.task_ended(id, std::move(report), at); });
}

} // namespace chivewharf::daemon
