#include "persistent_callers.h"

#include <base/digest.h>
#include <cmath>
#include <iostream>
#include <nlohmann/json.hpp>

namespace chivewharf::fleet_soak {

using nlohmann::json;

namespace {

constexpr int polling_callers = 14;
constexpr duration min_polling_rest = milliseconds{10};
constexpr duration max_polling_rest = milliseconds{60};
constexpr int submitting_callers = 36;
constexpr duration min_submitting_rest = milliseconds{50};
constexpr duration max_submitting_rest = milliseconds{4000};
/// Time after a request's own timeout at which the caller ends the connection.
constexpr duration patience = milliseconds{800};
constexpr duration connect_timeout = milliseconds{2000};
constexpr duration poll_timeout = milliseconds{2000};
constexpr duration base_timeout = milliseconds{1100};
constexpr duration min_pause = milliseconds{5};
constexpr duration max_pause = milliseconds{300};
constexpr double paused_share = 0.05;
constexpr double pipelined_share = 0.03;
constexpr double extra_route_share = 0.25;

struct job_kind {
    unsigned tasks;
    std::int64_t cpu_milli;
    std::int64_t run_ms;
};
constexpr std::array<job_kind, 3> kinds{{{2, 20000, 60}, {2, 20000, 300}, {1, 20000, 1200}}};

constexpr unsigned status_ok = 200;
/// Responses that tell that the job has not run and never will.
bool says_not_run(unsigned status)
{
    constexpr unsigned not_found = 404;
    constexpr unsigned too_many_requests = 429;
    constexpr unsigned unavailable = 503;
    return status == not_found || status == too_many_requests || status == unavailable;
}

} // namespace

persistent_callers::persistent_callers(cluster& target_cluster, evidence& run_evidence,
                                       load_balancer& balancer, std::uint64_t seed)
    : cluster_{target_cluster}, evidence_{run_evidence}, balancer_{balancer}, random_{seed},
      cuts_{run_evidence}
{
}

void persistent_callers::start()
{
    const auto spread = [](duration min, duration max, int number, int count) {
        const double share = static_cast<double>(number) / (count - 1);
        const auto ratio = static_cast<double>(max.count()) / static_cast<double>(min.count());
        return duration{
            static_cast<duration::rep>(static_cast<double>(min.count()) * std::pow(ratio, share))};
    };
    for (int i = 0; i < polling_callers; ++i)
        add(spread(min_polling_rest, max_polling_rest, i, polling_callers), false);
    for (int i = 0; i < submitting_callers; ++i)
        add(spread(min_submitting_rest, max_submitting_rest, i, submitting_callers), true);
}

void persistent_callers::add(duration rest_time, bool submits)
{
    auto& added = *callers_.emplace_back(std::make_unique<caller>());
    added.rest = rest_time;
    added.submits = submits;
    rest(added);
}

void persistent_callers::rest(caller& one)
{
    one.rest_timer.once(one.rest / 2 + uniform_duration(random_, one.rest),
                        [this, &one] { begin(one); });
}

void persistent_callers::begin(caller& one)
{
    if (stopped_)
        return;
    if (one.connection && !one.connection->end_visible())
        send(one);
    else
        connect(one);
}

void persistent_callers::connect(caller& one)
{
    one.host = balancer_.choose_host();
    one.host_log = cluster_.hosts()[static_cast<std::size_t>(one.host)].log;
    one.connection = caller_connection::open(
        cluster_.caller_address(one.host),
        {[this, &one] { send(one); },
         [this, &one](const written_request& answered, const caller_response& response) {
             on_response(one, answered, response);
         },
         [this, &one] { on_end(one); }});
    one.patience_timer.once(connect_timeout, [this, &one] { leave(one); });
}

void persistent_callers::send(caller& one)
{
    const auto next = make_request(one);
    one.patience_timer.once(next.timeout + patience, [this, &one] { leave(one); });
    const auto kind = uniform(random_);
    if (kind < paused_share)
        return send_in_halves(one, next);
    if (kind < paused_share + pipelined_share) {
        auto second = make_request(one);
        // A host begins with the second request when it has answered the first.
        second.timeout += next.timeout;
        one.patience_timer.once(second.timeout + patience, [this, &one] { leave(one); });
        write_end(one, next.text, next);
        return write_end(one, second.text, second);
    }
    write_end(one, next.text, next);
}

void persistent_callers::send_in_halves(caller& one, const request& next)
{
    const auto half = next.text.size() / 2;
    one.connection->write_part(std::string_view{next.text}.substr(0, half));
    one.rest_timer.once(min_pause + uniform_duration(random_, max_pause - min_pause),
                        [this, &one, next, half] {
                            if (!one.connection->end_visible())
                                write_end(one, std::string_view{next.text}.substr(half), next);
                        });
}

void persistent_callers::write_end(caller& one, std::string_view bytes, const request& whole)
{
    one.connection->write_end(bytes, {whole.job, boot_clock::now() + whole.timeout});
}

void persistent_callers::on_response(caller& one, const written_request& answered,
                                     const caller_response& response)
{
    if (!one.connection)
        return;
    count("status " + std::to_string(response.status));
    if (!answered.job.empty()) {
        evidence_.jobs.at(answered.job).completed = response.status == status_ok;
        if (says_not_run(response.status))
            evidence_.refused_as_not_run(answered.job);
    }
    const auto behind = one.connection->unanswered().size();
    if (!response.closes && behind > 0)
        return;
    one.patience_timer.cancel();
    if (response.closes) {
        // HTTP/1.1 lets a server leave out requests that follow its closing response.
        evidence_.outcomes["behind a closing response"] += behind;
        one.connection.reset();
    }
    rest(one);
}

void persistent_callers::on_end(caller& one)
{
    const auto ended = std::exchange(one.connection, nullptr);
    const auto& host = cluster_.hosts()[static_cast<std::size_t>(one.host)];
    if (!ended->connected())
        count("not connected");
    for (const auto& unanswered : ended->unanswered()) {
        count("cut");
        cuts_.add({unanswered, one.host_log, boot_clock::now(), wall_now_ms(),
                   ended->response_begun(), ended->responses(), host.exit_expected});
    }
    one.patience_timer.cancel();
    rest(one);
}

void persistent_callers::leave(caller& one)
{
    count("left after its timeout");
    for (const auto& unanswered : one.connection->unanswered())
        std::cout << "no response: " << (unanswered.job.empty() ? "request" : unanswered.job)
                  << " on a connection to the process of " << one.host_log << '\n';
    one.connection.reset();
    rest(one);
}

std::string persistent_callers::choose_path()
{
    if (uniform(random_) >= extra_route_share)
        return cluster::queue_path;
    return cluster::extra_queue_path(static_cast<unsigned>(random_() % cluster::max_extra_routes));
}

persistent_callers::request persistent_callers::make_request(const caller& one)
{
    if (one.submits)
        return make_job(one);
    return {"GET " + choose_path() + " HTTP/1.1\r\nHost: " + cluster_.caller_address(one.host) +
                "\r\n\r\n",
            {},
            poll_timeout};
}

persistent_callers::request persistent_callers::make_job(const caller& one)
{
    const auto id = to_hex(random_());
    const auto& kind = kinds[random_() % kinds.size()];
    auto& job = evidence_.jobs[id];
    job.payload = encode_work({kind.cpu_milli, kind.run_ms});
    job.submitted = boot_clock::now();
    const auto timeout = base_timeout + 2 * milliseconds{kind.run_ms};
    const auto body = json{
        {"spec", job.payload},
        {"steps",
         {{{"count", kind.tasks},
           {"cpu", kind.cpu_milli},
           {"mem_mb", 64},
           {"estimate_ms", kind.run_ms}}}},
        {"best_effort",
         true}}.dump();
    return {
        "POST " + choose_path() + id + " HTTP/1.1\r\nHost: " + cluster_.caller_address(one.host) +
            "\r\nX-Deadline-Ms: " + std::to_string(to_ms(timeout)) +
            "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
            "\r\n\r\n" + body,
        id, timeout};
}

} // namespace chivewharf::fleet_soak
