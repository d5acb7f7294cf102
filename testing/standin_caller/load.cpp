#include "load.h"

#include <algorithm>

namespace chivewharf::testing_support {

using nlohmann::json;

namespace {

constexpr duration tick_interval = milliseconds{1};
constexpr unsigned id_block_size = 100;

std::string format_request(std::string_view method, const std::string& path,
                           const std::string& host, const std::string& fields,
                           const std::string& body)
{
    std::string text;
    text.reserve(256 + fields.size() + body.size());
    text.append(method).append(" ").append(path).append(" HTTP/1.1\r\nHost: ").append(host);
    text.append("\r\nContent-Type: application/json\r\nContent-Length: ");
    text.append(std::to_string(body.size())).append("\r\n").append(fields).append("\r\n");
    return text.append(body);
}

} // namespace

load::load(load_options options, std::function<void()> on_finished)
    : options_{std::move(options)}, on_finished_{std::move(on_finished)}, random_{options_.seed}
{
    for (unsigned i = 0; i < options_.connections; ++i) {
        clients_.emplace_back();
        clients_.back().link =
            std::make_unique<connection>(options_.targets[i % options_.targets.size()]);
    }
}

void load::start()
{
    started_at_ = boot_clock::now();
    // Start all connection attempts before the first request is written.
    for (auto& caller : clients_)
        caller.link->open();
    tick_timer_.every(tick_interval, [this] { on_tick(); });
    if (options_.rate <= 0)
        send_on_idle_connections();
}

double load::random()
{
    return std::uniform_real_distribution<double>{}(random_);
}

void load::on_tick()
{
    const auto now = boot_clock::now();
    while (!scheduled_.empty() && scheduled_.begin()->first <= now) {
        due_.push_back(scheduled_.begin()->second);
        scheduled_.erase(scheduled_.begin());
    }
    send_on_idle_connections();
}

void load::send_on_idle_connections()
{
    for (auto& caller : clients_)
        send_next(caller);
}

void load::send_next(client& caller)
{
    if (caller.link->busy())
        return;
    if (!due_.empty()) {
        const auto request = due_.front();
        due_.pop_front();
        send_request(caller, request);
        return;
    }
    if (submitted_ == options_.requests)
        return;
    const auto allowed = options_.rate * to_seconds(boot_clock::now() - started_at_);
    if (options_.rate > 0 && static_cast<double>(submitted_) >= allowed)
        return;
    if (!options_.direct && options_.ids != id_source::own && caller.ids.empty())
        fetch_ids(caller);
    else
        send_new_submission(caller);
}

void load::fetch_ids(client& caller)
{
    const auto count = options_.ids == id_source::post ? id_block_size : 1;
    const auto path = "/v1/ids?count=" + std::to_string(count);
    const auto fields = "Authorization: Bearer " + options_.token + "\r\n";
    ++in_flight_;
    caller.link->send(
        format_request("POST", path, caller.link->target(), fields, {}),
        [this, &caller](std::optional<raw_response> response) {
            --in_flight_;
            if (caller.awaiting_first_response && response)
                summary_.add_first_response(boot_clock::now() - caller.link->opened_at());
            caller.awaiting_first_response = caller.awaiting_first_response && !response;
            const auto answer =
                response ? json::parse(response->body, nullptr, false) : json(json::value_t::null);
            if (response && response->status == 200) {
                for (const auto& id : answer.at("ids"))
                    caller.ids.push_back(id);
                send_next(caller);
                return;
            }
            summary_.count_outcome("no_ids");
        });
}

std::string load::make_body()
{
    const auto run_ms =
        options_.min_run_ms + random() * (options_.max_run_ms - options_.min_run_ms);
    const json payload{{"run_ms", run_ms}};
    if (options_.direct)
        return payload.dump();
    auto tasks = json::array();
    for (unsigned i = 0; i < options_.tasks; ++i)
        tasks.push_back({{"kind", "standin"}, {"payload", payload}});
    return json{{"service", options_.service},
                {"deadline_ms", options_.deadline_ms},
                {"tasks", std::move(tasks)}}
        .dump();
}

void load::send_new_submission(client& caller)
{
    ++submitted_;
    submission_record record;
    if (options_.direct || options_.ids == id_source::own) {
        record.id =
            options_.id_prefix + std::to_string(options_.seed) + '-' + std::to_string(++own_ids_);
    }
    else {
        record.id = std::move(caller.ids.front());
        caller.ids.pop_front();
    }
    record.tasks = options_.tasks;
    submissions_.push_back(std::move(record));
    bodies_.push_back(make_body());
    const auto number = submissions_.size() - 1;
    schedule_follow_ups(number);
    send_request(caller, {operation::submit, number});
}

void load::schedule_follow_ups(std::size_t submission)
{
    // Follow-ups are spread over twice the expected run time, so that some arrive while the work
    // is running and others when the answer is already stored.
    const auto window = from_seconds(2.0 * (options_.max_run_ms + 1.0) / 1000.0);
    const auto delay = [&] { return from_seconds(random() * to_seconds(window)); };
    if (options_.resubmit > 0 && random() < options_.resubmit)
        schedule({operation::submit, submission}, delay());
    if (options_.cancel > 0 && random() < options_.cancel)
        schedule({operation::cancel, submission}, delay());
}

void load::schedule(planned_request request, duration delay)
{
    scheduled_.emplace(boot_clock::now() + delay, request);
}

std::string load::build_request(const client& caller, planned_request request) const
{
    const auto& id = submissions_[request.submission].id;
    const auto& body = bodies_[request.submission];
    const auto& host = caller.link->target();
    if (options_.direct)
        return format_request("POST", "/v1/tasks", host,
                              "Chivewharf-Task: " + id + "\r\nChivewharf-Attempt: 1\r\n", body);
    const auto token = "Authorization: Bearer " + options_.token + "\r\n";
    if (request.op == operation::cancel)
        return format_request("DELETE", "/v1/submissions/" + id, host, token, {});
    return format_request("POST", "/v1/submissions", host,
                          token + "Idempotency-Key: " + id + "\r\n", body);
}

void load::send_request(client& caller, planned_request request)
{
    auto& record = submissions_[request.submission];
    ++record.sends;
    record.cancel_sent = record.cancel_sent || request.op == operation::cancel;
    ++in_flight_;
    const auto sent = boot_clock::now();
    caller.link->send(build_request(caller, request),
                      [this, &caller, request, sent](std::optional<raw_response> response) {
                          on_response(caller, request, sent, std::move(response));
                      });
}

void load::on_response(client& caller, planned_request request, time_point sent,
                       std::optional<raw_response> response)
{
    --in_flight_;
    const auto now = boot_clock::now();
    if (response) {
        if (caller.awaiting_first_response)
            summary_.add_first_response(now - caller.link->opened_at());
        caller.awaiting_first_response = false;
        if (const auto next = response->header("Chivewharf-Next-Id");
            !next.empty() && options_.ids == id_source::next && caller.ids.empty())
            caller.ids.emplace_back(next);
        if (request.op == operation::submit)
            summary_.add_latency(now - sent);
        record_answer(request, *response);
    }
    else {
        summary_.count_outcome("connection_lost");
        // The delay avoids calling an unreachable target in a busy loop.
        if (submissions_[request.submission].sends < options_.max_sends)
            schedule(request, milliseconds{100});
    }
    if (response || options_.rate <= 0)
        send_next(caller);
    finish_if_done();
}

void load::record_answer(planned_request request, const raw_response& response)
{
    auto& record = submissions_[request.submission];
    const auto answer = json::parse(response.body, nullptr, false);
    std::string outcome = response.status == 200 ? "complete" : "failed";
    if (!options_.direct)
        outcome = answer.is_object() ? answer.value("outcome", "unreadable") : "unreadable";
    const auto reason = answer.is_object() ? answer.value("reason", "") : std::string{};
    summary_.count_outcome(request.op == operation::cancel      ? "cancel_" + outcome
                           : reason.empty() || reason == "none" ? outcome
                                                                : outcome + ':' + reason);
    ++record.answers;
    if (!options_.direct && outcome != "unreadable") {
        const bool has_all_tasks =
            outcome != "complete" || answer.value("tasks", json::array()).size() == record.tasks;
        record.wrong_answer =
            record.wrong_answer || answer.value("id", record.id) != record.id || !has_all_tasks;
    }
    const auto is_final = [](const std::string& text) {
        return text == "complete" || text == "failed";
    };
    if (is_final(record.outcome)) {
        record.conflicting = record.conflicting || (is_final(outcome) && outcome != record.outcome);
        return;
    }
    record.outcome = outcome;
    record.reason = reason;
    record.work = answer.is_object() ? answer.value("work", "") : std::string{};
}

void load::finish_if_done()
{
    if (submitted_ < options_.requests || in_flight_ > 0 || !due_.empty() || !scheduled_.empty() ||
        finished_at_ != time_point{})
        return;
    finished_at_ = boot_clock::now();
    tick_timer_.cancel();
    on_finished_();
}

} // namespace chivewharf::testing_support
