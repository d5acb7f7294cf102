#include "load.h"

#include <algorithm>

namespace chivewharf::testing_support {

using nlohmann::json;

namespace {

constexpr duration tick_interval = milliseconds{1};
constexpr unsigned ids_in_block = 100;

std::string request_text(std::string_view method, const std::string& path, const std::string& host,
                         const std::string& fields, const std::string& body)
{
    std::string text;
    text.reserve(256 + fields.size() + body.size());
    text.append(method).append(" ").append(path).append(" HTTP/1.1\r\nHost: ").append(host);
    text.append("\r\nContent-Type: application/json\r\nContent-Length: ");
    text.append(std::to_string(body.size())).append("\r\n").append(fields).append("\r\n");
    return text.append(body);
}

} // namespace

load::load(load_options options, std::function<void()> ended)
    : options_{std::move(options)}, ended_{std::move(ended)}, random_{options_.seed}
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
    // All connection attempts are on their way before the first request is written.
    for (auto& one : clients_)
        one.link->open();
    ticks_.every(tick_interval, [this] { keep_rate(); });
    if (options_.rate <= 0)
        feed_all();
}

double load::random()
{
    return std::uniform_real_distribution<double>{}(random_);
}

void load::keep_rate()
{
    const auto now = boot_clock::now();
    while (!later_.empty() && later_.begin()->first <= now) {
        due_.push_back(later_.begin()->second);
        later_.erase(later_.begin());
    }
    feed_all();
}

void load::feed_all()
{
    for (auto& one : clients_)
        feed(one);
}

void load::feed(client& one)
{
    if (one.link->busy())
        return;
    if (!due_.empty()) {
        const auto todo = due_.front();
        due_.pop_front();
        run(one, todo);
        return;
    }
    if (begun_ == options_.requests)
        return;
    const auto allowed = options_.rate * to_seconds(boot_clock::now() - started_at_);
    if (options_.rate > 0 && static_cast<double>(begun_) >= allowed)
        return;
    if (!options_.direct && options_.ids != id_source::own && one.ids.empty())
        fetch_ids(one);
    else
        begin(one);
}

void load::fetch_ids(client& one)
{
    const auto count = options_.ids == id_source::post ? ids_in_block : 1;
    const auto path = "/v1/ids?count=" + std::to_string(count);
    const auto fields = "Authorization: Bearer " + options_.token + "\r\n";
    ++under_way_;
    one.link->send(request_text("POST", path, one.link->target(), fields, {}),
                   [this, &one](std::optional<raw_response> response) {
                       --under_way_;
                       if (one.first && response)
                           summary_.first_response(boot_clock::now() - one.link->opened_at());
                       one.first = one.first && !response;
                       const auto answer = response ? json::parse(response->body, nullptr, false)
                                                    : json(json::value_t::null);
                       if (response && response->status == 200) {
                           for (const auto& id : answer.at("ids"))
                               one.ids.push_back(id);
                           feed(one);
                           return;
                       }
                       summary_.count("no_ids");
                   });
}

std::string load::make_body()
{
    const auto run_ms =
        options_.least_run_ms + random() * (options_.most_run_ms - options_.least_run_ms);
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

void load::begin(client& one)
{
    ++begun_;
    submission_record record;
    if (options_.direct || options_.ids == id_source::own) {
        record.id =
            options_.id_prefix + std::to_string(options_.seed) + '-' + std::to_string(++own_ids_);
    }
    else {
        record.id = std::move(one.ids.front());
        one.ids.pop_front();
    }
    record.tasks = options_.tasks;
    submissions_.push_back(std::move(record));
    bodies_.push_back(make_body());
    const auto number = submissions_.size() - 1;
    plan_follow_ups(number);
    run(one, {operation::submit, number});
}

void load::plan_follow_ups(std::size_t submission)
{
    // Follow-ups fall into twice the expected time, so that some meet running work and some the
    // kept answer.
    const auto window = from_seconds(2.0 * (options_.most_run_ms + 1.0) / 1000.0);
    const auto delay = [&] { return from_seconds(random() * to_seconds(window)); };
    if (options_.resubmit > 0 && random() < options_.resubmit)
        plan({operation::submit, submission}, delay());
    if (options_.cancel > 0 && random() < options_.cancel)
        plan({operation::cancel, submission}, delay());
}

void load::plan(planned todo, duration delay)
{
    later_.emplace(boot_clock::now() + delay, todo);
}

std::string load::text_of(const client& one, planned todo) const
{
    const auto& id = submissions_[todo.submission].id;
    const auto& body = bodies_[todo.submission];
    const auto& host = one.link->target();
    if (options_.direct)
        return request_text("POST", "/v1/tasks", host,
                            "Chivewharf-Task: " + id + "\r\nChivewharf-Attempt: 1\r\n", body);
    const auto token = "Authorization: Bearer " + options_.token + "\r\n";
    if (todo.what == operation::cancel)
        return request_text("DELETE", "/v1/submissions/" + id, host, token, {});
    return request_text("POST", "/v1/submissions", host, token + "Idempotency-Key: " + id + "\r\n",
                        body);
}

void load::run(client& one, planned todo)
{
    auto& record = submissions_[todo.submission];
    ++record.sends;
    record.cancel_sent = record.cancel_sent || todo.what == operation::cancel;
    ++under_way_;
    const auto sent = boot_clock::now();
    one.link->send(text_of(one, todo),
                   [this, &one, todo, sent](std::optional<raw_response> response) {
                       answered(one, todo, sent, std::move(response));
                   });
}

void load::answered(client& one, planned todo, time_point sent,
                    std::optional<raw_response> response)
{
    --under_way_;
    const auto now = boot_clock::now();
    if (response) {
        if (one.first)
            summary_.first_response(now - one.link->opened_at());
        one.first = false;
        if (const auto next = response->header("Chivewharf-Next-Id");
            !next.empty() && options_.ids == id_source::next && one.ids.empty())
            one.ids.emplace_back(next);
        if (todo.what == operation::submit)
            summary_.answered(now - sent);
        judge(todo, *response);
    }
    else {
        summary_.count("connection_lost");
        // The pause keeps a target that is down from being called in a busy loop.
        if (submissions_[todo.submission].sends < options_.max_sends)
            plan(todo, milliseconds{100});
    }
    if (response || options_.rate <= 0)
        feed(one);
    end_if_done();
}

void load::judge(planned todo, const raw_response& response)
{
    auto& record = submissions_[todo.submission];
    const auto answer = json::parse(response.body, nullptr, false);
    std::string outcome = response.status == 200 ? "complete" : "failed";
    if (!options_.direct)
        outcome = answer.is_object() ? answer.value("outcome", "unreadable") : "unreadable";
    const auto reason = answer.is_object() ? answer.value("reason", "") : std::string{};
    summary_.count(todo.what == operation::cancel       ? "cancel_" + outcome
                   : reason.empty() || reason == "none" ? outcome
                                                        : outcome + ':' + reason);
    ++record.answers;
    if (!options_.direct && outcome != "unreadable") {
        const bool whole =
            outcome != "complete" || answer.value("tasks", json::array()).size() == record.tasks;
        record.wrong_answer =
            record.wrong_answer || answer.value("id", record.id) != record.id || !whole;
    }
    const auto ends = [](const std::string& text) {
        return text == "complete" || text == "failed";
    };
    if (ends(record.outcome)) {
        record.conflicting = record.conflicting || (ends(outcome) && outcome != record.outcome);
        return;
    }
    record.outcome = outcome;
    record.reason = reason;
    record.work = answer.is_object() ? answer.value("work", "") : std::string{};
}

void load::end_if_done()
{
    if (begun_ < options_.requests || under_way_ > 0 || !due_.empty() || !later_.empty() ||
        ended_at_ != time_point{})
        return;
    ended_at_ = boot_clock::now();
    ticks_.cancel();
    ended_();
}

} // namespace chivewharf::testing_support
