#include "callers.h"

#include <base/digest.h>
#include <nlohmann/json.hpp>
#include <runtime/http_client_call.h>
#include <testing/support/after.h>

namespace chivewharf::fleet_soak {

using nlohmann::json;
using runtime::call_outcome;
using testing_support::after;

namespace {

constexpr duration submit_interval = milliseconds{40};
constexpr duration retry_delay = milliseconds{1300};
constexpr unsigned max_attempts = 4;
constexpr double cancelled_share = 0.04;

struct job_kind {
    unsigned tasks;
    std::int64_t cpu_milli;
    std::int64_t run_ms;
};
constexpr std::array<job_kind, 3> kinds{{{8, 20000, 60}, {4, 20000, 900}, {2, 20000, 200}}};

} // namespace

callers::callers(cluster& target_cluster, evidence& run_evidence, std::uint64_t seed)
    : cluster_{target_cluster}, evidence_{run_evidence}, random_{seed}, http_{{4096, 4096, 60}}
{
}

void callers::start()
{
    submit_timer_.every(submit_interval, [this] { submit(); });
}

int callers::choose_host()
{
    // The load balancer excludes hosts whose process has ended; it does not notice a paused host.
    std::vector<int> running;
    for (int host = 0; host < host_count; ++host) {
        if (cluster_.hosts()[static_cast<std::size_t>(host)].running)
            running.push_back(host);
    }
    return running.empty() ? 0 : running[random_() % running.size()];
}

void callers::submit()
{
    const auto id = to_hex(random_());
    const auto& kind = kinds[random_() % 8 < 2 ? 0 : random_() % 6 == 0 ? 1 : 2];
    auto& job = evidence_.jobs[id];
    job.payload = encode_work({kind.cpu_milli, kind.run_ms});
    job.submitted = boot_clock::now();
    attempt(id);
}

void callers::attempt(const std::string& id)
{
    auto& job = evidence_.jobs.at(id);
    ++job.attempts;
    const auto work = *decode_work(job.payload);
    const auto* kind = std::find_if(kinds.begin(), kinds.end(), [&](const job_kind& candidate) {
        return candidate.run_ms == work.run_ms;
    });
    const auto timeout = milliseconds{1100} + 2 * milliseconds{work.run_ms};
    runtime::http_call call;
    call.url = cluster_.caller_url(choose_host()) + id;
    call.headers.push_back({"X-Deadline-Ms", std::to_string(to_ms(timeout))});
    call.timeout = timeout;
    call.body = json{
        {"spec", job.payload},
        {"steps",
         {{{"count", kind->tasks},
           {"cpu", work.cpu_milli},
           {"mem_mb", 64},
           {"estimate_ms", work.run_ms}}}},
        {"best_effort",
         true}}.dump();
    const auto sent = http_.send(std::move(call), [this, id](const runtime::call_result& result) {
        on_response(id, result);
    });
    if (uniform(random_) >= cancelled_share)
        return;
    after(uniform_duration(random_, milliseconds{work.run_ms}),
          [this, id, weak = std::weak_ptr<runtime::http_client_call>{sent}] {
              const auto call_in_flight = weak.lock();
              if (!call_in_flight)
                  return;
              evidence_.jobs.at(id).left = boot_clock::now();
              call_in_flight->cancel();
          });
}

void callers::on_response(const std::string& id, const runtime::call_result& result)
{
    auto& job = evidence_.jobs.at(id);
    const bool answered = result.outcome == call_outcome::answered;
    ++evidence_.outcomes[job.left   ? "left"
                         : answered ? "status " + std::to_string(result.status)
                                    : std::string{to_name(result.outcome)}];
    constexpr unsigned status_ok = 200;
    constexpr unsigned status_unavailable = 503;
    const bool final =
        answered && (result.status == status_ok || result.status == status_unavailable);
    if (answered && result.status == status_unavailable && ++job.refusals == job.attempts &&
        !job.left)
        evidence_.refused_as_not_run(id);
    if (!final && !job.left && job.attempts < max_attempts) {
        after(retry_delay, [this, id] { attempt(id); });
        return;
    }
    job.completed = answered && result.status == status_ok;
}

} // namespace chivewharf::fleet_soak
