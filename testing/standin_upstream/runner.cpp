#include "runner.h"

#include <algorithm>
#include <charconv>

namespace chivewharf::testing_support {

using nlohmann::json;
using runtime::http_exchange;

/// A running task. Its timer callback keeps it alive until the response has been sent.
struct runner::running_task {
    std::shared_ptr<http_exchange> exchange;
    runtime::timer finish_timer;
};

runner::runner(std::string name, unsigned slots, double speed, bool count_starts,
               start_ledger& ledger)
    : name_{std::move(name)}, slots_{slots}, speed_{speed}, count_starts_{count_starts},
      ledger_{ledger}, server_{make_server([this](const auto& exchange) { handle(exchange); })}
{
}

json runner::stats() const
{
    return {{"name", name_},
            {"mode", to_name(mode_)},
            {"starts", starts_},
            {"refusals", refusals_},
            {"running", running_},
            {"most_running", max_running_},
            {"last_start_ms", last_start_},
            {"announced_ms", leaving_announced_at_}};
}

void runner::handle(const std::shared_ptr<http_exchange>& exchange)
{
    if (exchange->request().path != "/v1/tasks") {
        exchange->respond(json_response(404, {{"error", "unknown path"}}));
        return;
    }
    if (mode_ == runner_mode::refuse) {
        refuse(*exchange, "refusing");
        return;
    }
    if (running_ >= slots_) {
        refuse(*exchange, "full");
        return;
    }
    if (const auto start_by = exchange->header("Chivewharf-Start-By")) {
        wall_ms limit = 0;
        std::from_chars(start_by->data(), start_by->data() + start_by->size(), limit);
        if (wall_now_ms() > limit) {
            refuse(*exchange, "late");
            return;
        }
    }
    run(exchange);
}

void runner::refuse(http_exchange& exchange, const std::string& reason)
{
    ++refusals_;
    auto response = json_response(503, {{"error", reason}});
    response.headers.push_back({"Chivewharf-Not-Run", reason});
    exchange.respond(std::move(response));
}

void runner::respond_with(http_exchange& exchange, unsigned status, const json& body)
{
    auto response = json_response(status, body);
    if (mode_ == runner_mode::leaving) {
        if (leaving_announced_at_ == 0)
            leaving_announced_at_ = wall_now_ms();
        response.headers.push_back({"Chivewharf-Leaving", "1"});
    }
    exchange.respond(std::move(response));
}

void runner::run(const std::shared_ptr<http_exchange>& exchange)
{
    ++starts_;
    last_start_ = wall_now_ms();
    const std::string task{exchange->header("Chivewharf-Task").value_or("")};
    if (count_starts_)
        ledger_.record_start(task, last_start_,
                             name_ + '#' +
                                 std::string{exchange->header("Chivewharf-Attempt").value_or("?")});
    if (mode_ == runner_mode::fail) {
        respond_with(*exchange, 500, {{"error", "runner fails every task"}});
        return;
    }
    if (mode_ == runner_mode::hang) {
        ++running_;
        exchange->on_disconnect([this] { --running_; });
        return;
    }
    const auto payload = json::parse(exchange->request().body, nullptr, false);
    const double run_ms = payload.is_object() ? payload.value("run_ms", 0.0) : 0.0;
    if (run_ms <= 0) {
        respond_with(*exchange, 200, {{"task", task}});
        return;
    }
    max_running_ = std::max(max_running_, ++running_);
    const auto running = std::make_shared<running_task>();
    running->exchange = exchange;
    running->finish_timer.once(from_seconds(run_ms / 1000.0 / speed_), [this, running, task] {
        --running_;
        respond_with(*running->exchange, 200, {{"task", task}, {"runner", name_}});
        running->exchange.reset();
    });
}

} // namespace chivewharf::testing_support
