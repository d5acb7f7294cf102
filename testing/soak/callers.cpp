#include "callers.h"

#include <algorithm>
#include <set>

namespace chivewharf::soak {

namespace {

/// Callers stop resubmitting well within the id lifetime, as the API requires.
constexpr wall_ms resubmit_limit_ms = id_lifetime_ms / 2;
constexpr wall_ms issued_id_max_age_ms = 3000;
constexpr int max_tries = 8;
constexpr int final_rounds = 5;
constexpr duration request_timeout = seconds{6};
constexpr int deadline_ms = 4000;

const std::set<std::string> final_refusals{
    "owner_gone",        "id_expired", "id_body_mismatch", "id_not_issued",
    "malformed_request", "invalid_id", "too_many_tasks",   "unknown_service"};

} // namespace

callers::callers(cluster& target_cluster, std::uint64_t seed, int caller_count,
                 double run_time_scale)
    : cluster_{target_cluster}, random_{seed}, caller_count_{caller_count}, run_time_scale_{
                                                                                run_time_scale}
{
}

void callers::after(duration delay, std::function<void()> call)
{
    const auto timer = std::make_shared<runtime::timer>();
    timer->once(delay, [timer, call = std::move(call)] { call(); });
}

void callers::start()
{
    for (int i = 0; i < caller_count_; ++i)
        think();
}

void callers::think()
{
    ++pending_timers_;
    after(milliseconds{20 + random_below(300)}, [this] {
        --pending_timers_;
        if (!stopping_)
            next_submission();
    });
}

int callers::choose_entry()
{
    std::vector<int> usable;
    for (int i = 0; i < entry_count; ++i) {
        if (!cluster_.entries()[i].stopping)
            usable.push_back(i);
    }
    return usable[random_below(usable.size())];
}

std::string callers::make_id()
{
    ++last_job_number_;
    if (random_below(2) == 0) {
        while (!issued_ids_.empty() &&
               wall_now_ms() - issued_ids_.front().received > issued_id_max_age_ms)
            issued_ids_.pop_front();
        if (!issued_ids_.empty()) {
            auto id = std::move(issued_ids_.front().id);
            issued_ids_.pop_front();
            return id;
        }
    }
    const auto own = "job-" + std::to_string(last_job_number_);
    return random_below(2) == 0 ? own : std::string{domain_names[random_below(3)]} + ':' + own;
}

std::string callers::make_body(submission_record& record)
{
    record.customer = static_cast<int>(random_below(2));
    record.tasks = random_below(2) == 0 ? 1 : 1 + random_below(30);
    const bool idempotent = record.customer == 1;
    json tasks = json::array();
    for (std::size_t i = 0; i < record.tasks; ++i) {
        const bool is_long = random_below(60) == 0;
        const double run_ms =
            run_time_scale_ *
            static_cast<double>(is_long ? 2000 + random_below(4000) : 50 + random_below(950));
        // Declared run times are wrong by a factor of up to ten in either direction.
        const double error[] = {0.1, 0.5, 1, 1, 2, 10};
        const auto declared = std::clamp(run_ms * error[random_below(6)], 1.0, deadline_ms / 2.0);
        tasks.push_back({{"kind", is_long ? "long" : "short"},
                         {"declared_ms", static_cast<int>(declared)},
                         {"payload", {{"run_ms", run_ms}}}});
    }
    return json{{"service", idempotent ? "dialler-core" : "plugdesk"},
                {"deadline_ms", deadline_ms},
                {"tasks", tasks}}
        .dump();
}

void callers::next_submission()
{
    auto& record = records_.emplace_back();
    record.id = make_id();
    record.body = make_body(record);
    record.first_sent = wall_now_ms();
    send(record, "submit", true);
    if (random_below(6) == 0)
        send(record, "submit", false);
    if (random_below(25) == 0) {
        ++pending_timers_;
        after(milliseconds{10 + random_below(200)}, [this, &record] {
            --pending_timers_;
            send(record, "cancel", false);
        });
    }
}

void callers::send(submission_record& record, const std::string& operation, bool primary)
{
    const int entry = choose_entry();
    auto& host = cluster_.entries()[entry];
    runtime::http_call call;
    const auto url = cluster_.caller_url(entry) + "/v1/submissions";
    call.headers = {
        {"Authorization", "Bearer " + std::string{customer_names[record.customer]} + "-token"}};
    if (operation == "submit") {
        call.url = url;
        call.headers.push_back({"Idempotency-Key", record.id});
        call.body = record.body;
        if (random_below(8) == 0)
            call.url += "?wait_ms=50";
    }
    else {
        call.method = operation == "fetch" ? "GET" : "DELETE";
        call.url = url + '/' + record.id + "?wait_ms=2000";
    }
    call.timeout = request_timeout;
    ++record.open;
    ++open_requests_;
    ++outstanding_[entry];
    reply reply_record{
        operation, entry, host.starts, wall_now_ms(), 0, {}, json(json::value_t::discarded)};
    cluster_.http().send(
        std::move(call), [this, &record, primary, reply_record = std::move(reply_record)](
                             runtime::call_result result) mutable {
            reply_record.received = wall_now_ms();
            reply_record.transport_outcome = result.outcome;
            if (result.outcome == runtime::call_outcome::answered) {
                reply_record.body = json::parse(result.body, nullptr, false);
                if (const auto next = result.header("Chivewharf-Next-Id"); !next.empty())
                    issued_ids_.push_back({std::string{next}, reply_record.received});
            }
            on_response(record, std::move(reply_record), primary);
        });
}

void callers::on_response(submission_record& record, reply&& received_reply, bool primary)
{
    --record.open;
    --open_requests_;
    --outstanding_[received_reply.entry];
    const auto outcome = received_reply.outcome();
    if (outcome == "complete" || outcome == "failed" ||
        (outcome == "refused" && final_refusals.contains(received_reply.reason())))
        record.settled = true;
    record.replies.push_back(std::move(received_reply));
    if (primary)
        choose_next_request(record, record.replies.back());
}

void callers::schedule_request(submission_record& record, const std::string& operation,
                               duration delay)
{
    ++record.tries;
    ++pending_timers_;
    after(delay, [this, &record, operation] {
        --pending_timers_;
        const bool late = wall_now_ms() - record.first_sent > resubmit_limit_ms;
        send(record, late ? "fetch" : operation, true);
    });
}

void callers::choose_next_request(submission_record& record, const reply& received_reply)
{
    if (final_round_)
        return;
    if (record.settled) {
        const auto follow_up = record.tries < max_tries ? random_below(10) : 9;
        if (follow_up < 2)
            schedule_request(record, follow_up == 0 ? "submit" : "fetch",
                             milliseconds{random_below(400)});
        else if (!stopping_)
            think();
        if (follow_up < 2)
            record.tries = max_tries;
        return;
    }
    if (record.tries >= max_tries || wall_now_ms() - record.first_sent > resubmit_limit_ms) {
        // There is no final answer yet; the final round fetches it.
        if (!stopping_)
            think();
        return;
    }
    const bool pending = received_reply.outcome() == "pending";
    const bool fetch = pending || (received_reply.work() == "may_have_run" && random_below(3) == 0);
    schedule_request(record, fetch ? "fetch" : "submit",
                     milliseconds{pending ? 1 : 100 + random_below(400)});
}

void callers::finish(std::function<void()> done)
{
    stopping_ = true;
    done_ = std::move(done);
    poll_.every(milliseconds{50}, [this] { check_finished(); });
}

void callers::check_finished()
{
    if (open_requests_ > 0 || pending_timers_ > 0)
        return;
    const bool missing =
        std::any_of(records_.begin(), records_.end(), [](const auto& one) { return !one.settled; });
    if (missing && final_rounds_run_++ < final_rounds) {
        final_round_ = true;
        fetch_unsettled();
        return;
    }
    poll_.cancel();
    done_();
}

void callers::fetch_unsettled()
{
    for (auto& record : records_) {
        if (record.settled)
            continue;
        const auto& last = record.replies.back();
        // From the second final round on, a refused fetch counts as the final answer.
        if (final_rounds_run_ > 1 && last.operation == "fetch" && last.outcome() == "refused")
            record.settled = true;
        else
            send(record, "fetch", false);
    }
}

} // namespace chivewharf::soak
