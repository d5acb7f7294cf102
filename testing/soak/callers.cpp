#include "callers.h"

#include <algorithm>
#include <set>

namespace chivewharf::soak {

namespace {

/// A caller gives up resubmitting well within the id lifetime, as the API asks of it.
constexpr wall_ms resubmit_limit = id_lifetime_ms / 2;
constexpr wall_ms use_issued_within = 3000;
constexpr int max_tries = 8;
constexpr int final_rounds = 5;
constexpr duration request_timeout = seconds{6};
constexpr int deadline_ms = 4000;

const std::set<std::string> final_refusals{
    "owner_gone",        "id_expired", "id_body_mismatch", "id_not_issued",
    "malformed_request", "invalid_id", "too_many_tasks",   "unknown_service"};

} // namespace

callers::callers(cluster& all, std::uint64_t seed, int count, double scale)
    : all_{all}, random_{seed}, count_{count}, scale_{scale}
{
}

void callers::after(duration delay, std::function<void()> call)
{
    const auto timer = std::make_shared<runtime::timer>();
    timer->once(delay, [timer, call = std::move(call)] { call(); });
}

void callers::start()
{
    for (int i = 0; i < count_; ++i)
        think();
}

void callers::think()
{
    ++waiting_;
    after(milliseconds{20 + below(300)}, [this] {
        --waiting_;
        if (!stopping_)
            next_submission();
    });
}

int callers::pick_entry()
{
    std::vector<int> usable;
    for (int i = 0; i < entry_count; ++i) {
        if (!all_.entries()[i].stopping)
            usable.push_back(i);
    }
    return usable[below(usable.size())];
}

std::string callers::make_id()
{
    ++number_;
    if (below(2) == 0) {
        while (!ids_.empty() && wall_now_ms() - ids_.front().at > use_issued_within)
            ids_.pop_front();
        if (!ids_.empty()) {
            auto id = std::move(ids_.front().id);
            ids_.pop_front();
            return id;
        }
    }
    const auto own = "job-" + std::to_string(number_);
    return below(2) == 0 ? own : std::string{domain_names[below(3)]} + ':' + own;
}

std::string callers::make_body(submission_record& record)
{
    record.customer = static_cast<int>(below(2));
    record.tasks = below(2) == 0 ? 1 : 1 + below(30);
    const bool idempotent = record.customer == 1;
    json tasks = json::array();
    for (std::size_t i = 0; i < record.tasks; ++i) {
        const bool is_long = below(60) == 0;
        const double run_ms =
            scale_ * static_cast<double>(is_long ? 2000 + below(4000) : 50 + below(950));
        // Declared run times are off by up to ten times in either direction.
        const double error[] = {0.1, 0.5, 1, 1, 2, 10};
        const auto declared = std::clamp(run_ms * error[below(6)], 1.0, deadline_ms / 2.0);
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
    if (below(6) == 0)
        send(record, "submit", false);
    if (below(25) == 0) {
        ++waiting_;
        after(milliseconds{10 + below(200)}, [this, &record] {
            --waiting_;
            send(record, "cancel", false);
        });
    }
}

void callers::send(submission_record& record, const std::string& operation, bool leads)
{
    const int entry = pick_entry();
    auto& host = all_.entries()[entry];
    runtime::http_call call;
    const auto url = all_.caller_url(entry) + "/v1/submissions";
    call.headers = {
        {"Authorization", "Bearer " + std::string{customer_names[record.customer]} + "-token"}};
    if (operation == "submit") {
        call.url = url;
        call.headers.push_back({"Idempotency-Key", record.id});
        call.body = record.body;
        if (below(8) == 0)
            call.url += "?wait_ms=50";
    }
    else {
        call.method = operation == "fetch" ? "GET" : "DELETE";
        call.url = url + '/' + record.id + "?wait_ms=2000";
    }
    call.timeout = request_timeout;
    ++record.open;
    ++open_;
    ++outstanding_[entry];
    reply made{operation, entry, host.starts, wall_now_ms(), 0, {}, json(json::value_t::discarded)};
    all_.http().send(std::move(call), [this, &record, leads, made = std::move(made)](
                                          runtime::call_result result) mutable {
        made.received = wall_now_ms();
        made.how = result.outcome;
        if (result.outcome == runtime::call_outcome::answered) {
            made.body = json::parse(result.body, nullptr, false);
            if (const auto next = result.header("Chivewharf-Next-Id"); !next.empty())
                ids_.push_back({std::string{next}, made.received});
        }
        ended(record, std::move(made), leads);
    });
}

void callers::ended(submission_record& record, reply&& got, bool leads)
{
    --record.open;
    --open_;
    --outstanding_[got.entry];
    const auto outcome = got.outcome();
    if (outcome == "complete" || outcome == "failed" ||
        (outcome == "refused" && final_refusals.contains(got.why())))
        record.settled = true;
    record.replies.push_back(std::move(got));
    if (leads)
        decide(record, record.replies.back());
}

void callers::again(submission_record& record, const std::string& operation, duration delay)
{
    ++record.tries;
    ++waiting_;
    after(delay, [this, &record, operation] {
        --waiting_;
        const bool late = wall_now_ms() - record.first_sent > resubmit_limit;
        send(record, late ? "fetch" : operation, true);
    });
}

void callers::decide(submission_record& record, const reply& got)
{
    if (final_round_)
        return;
    if (record.settled) {
        const auto follow_up = record.tries < max_tries ? below(10) : 9;
        if (follow_up < 2)
            again(record, follow_up == 0 ? "submit" : "fetch", milliseconds{below(400)});
        else if (!stopping_)
            think();
        if (follow_up < 2)
            record.tries = max_tries;
        return;
    }
    if (record.tries >= max_tries || wall_now_ms() - record.first_sent > resubmit_limit) {
        // Without a final answer; the last round fetches it.
        if (!stopping_)
            think();
        return;
    }
    const bool pending = got.outcome() == "pending";
    const bool fetch = pending || (got.work() == "may_have_run" && below(3) == 0);
    again(record, fetch ? "fetch" : "submit", milliseconds{pending ? 1 : 100 + below(400)});
}

void callers::finish(std::function<void()> done)
{
    stopping_ = true;
    done_ = std::move(done);
    poll_.every(milliseconds{50}, [this] { poll_finished(); });
}

void callers::poll_finished()
{
    if (open_ > 0 || waiting_ > 0)
        return;
    const bool missing =
        std::any_of(records_.begin(), records_.end(), [](const auto& one) { return !one.settled; });
    if (missing && rounds_++ < final_rounds) {
        final_round_ = true;
        sweep();
        return;
    }
    poll_.cancel();
    done_();
}

void callers::sweep()
{
    for (auto& record : records_) {
        if (record.settled)
            continue;
        const auto& last = record.replies.back();
        // In the last round any refusal counts as the answer.
        if (rounds_ > 1 && last.operation == "fetch" && last.outcome() == "refused")
            record.settled = true;
        else
            send(record, "fetch", false);
    }
}

} // namespace chivewharf::soak
