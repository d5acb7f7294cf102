#include <daemon/platform_gateway.h>

#include <algorithm>
#include <base/log_line.h>
#include <nlohmann/json.hpp>
#include <runtime/http_client_call.h>

namespace chivewharf::daemon {

using nlohmann::json;
using ownership::append_outcome;
using runtime::call_outcome;

namespace {

constexpr duration call_deadline = seconds{1};
/// The platform holds a read without new records for this long. A claim of an ownership slot needs
/// a read that began in the last 2 s; the configuration has no such need, and fewer reads cost
/// less.
constexpr duration ownership_wait = milliseconds{1500};
constexpr duration config_wait = seconds{5};
constexpr std::size_t read_limit = 100;
constexpr std::size_t max_read_bytes = 128U << 20U;
constexpr duration first_backoff = milliseconds{100};
constexpr duration longest_backoff = seconds{2};
constexpr duration append_interval = milliseconds{50};
constexpr std::size_t max_queued_appends = 256;

append_outcome outcome_of(const runtime::call_result& result)
{
    if (result.outcome == call_outcome::not_sent)
        return append_outcome::not_written;
    if (result.outcome == call_outcome::answered && result.status == 200)
        return append_outcome::written;
    // The platform refuses a bad request before it writes anything.
    if (result.outcome == call_outcome::answered && result.status >= 400 && result.status < 500)
        return append_outcome::not_written;
    return append_outcome::may_have_been_written;
}

json parse_answer(const runtime::call_result& result)
{
    if (result.outcome != call_outcome::answered || result.status != 200)
        return json::value_t::discarded;
    return json::parse(result.body, nullptr, false);
}

bool is_read_answer(const json& answer)
{
    return answer.is_object() && answer.contains("first") && answer["first"].is_number_unsigned() &&
           answer.contains("next") && answer["next"].is_number_unsigned() &&
           answer.contains("records") && answer["records"].is_array();
}

bool is_record(const json& record)
{
    return record.is_object() && record.contains("offset") &&
           record["offset"].is_number_unsigned() && record.contains("time_ms") &&
           record["time_ms"].is_number_integer() && record.contains("data") &&
           record["data"].is_string();
}

bool reached_end(const json& answer, std::uint64_t from)
{
    const auto& records = answer["records"];
    const auto read_to = records.empty() ? std::max(from, answer["first"].get<std::uint64_t>())
                                         : records.back()["offset"].get<std::uint64_t>() + 1;
    return read_to >= answer["next"].get<std::uint64_t>() && records.size() < read_limit;
}

} // namespace

platform_gateway::platform_gateway(core_loop& loop, metrics::registry& metrics, std::string address,
                                   bool follow_config, std::uint64_t seed)
    : loop_{loop}, address_{std::move(address)}, follow_config_{follow_config}, random_{seed},
      budget_{loop.core().settings().policy.log_appends_per_second, boot_clock::now()},
      reads_{metrics.counter("chivewharf_log_reads_total")},
      read_failures_{metrics.counter("chivewharf_log_read_failures_total")},
      appends_{metrics.counter("chivewharf_log_appends_total")},
      appends_unknown_{metrics.counter("chivewharf_log_appends_unknown_total")},
      host_polls_{metrics.counter("chivewharf_host_list_polls_total")},
      host_poll_failures_{metrics.counter("chivewharf_host_list_failures_total")}
{
    ownership_.stream = loop.core().ownership_stream();
    ownership_.offset = [](dispatch::entry_host& core) { return core.ownership_offset(); };
    ownership_.take = &platform_gateway::take_ownership;
    ownership_.wait = ownership_wait;
    config_.stream = dispatch::config_service::stream;
    config_.offset = [](dispatch::entry_host& core) { return core.config_offset(); };
    config_.take = &platform_gateway::take_config;
    config_.wait = config_wait;
}

platform_gateway::~platform_gateway()
{
    stop();
}

result<void, runtime::runtime_error>
platform_gateway::start(std::function<void(runtime::runtime_error)> /*failed*/)
{
    client_ = std::make_unique<runtime::http_client>(runtime::http_client_limits{});
    read(ownership_);
    if (follow_config_)
        read(config_);
    poll_hosts();
    const auto interval = loop_.core().settings().policy.host_list_poll;
    hosts_timer_.every(interval, [this] { poll_hosts(); });
    append_timer_.every(append_interval, [this] { send_appends(); });
    return {};
}

void platform_gateway::stop()
{
    hosts_timer_.cancel();
    append_timer_.cancel();
    ownership_.pause.cancel();
    config_.pause.cancel();
    const auto open = std::exchange(calls_, {});
    for (const auto& one : open)
        one->abandon();
    client_.reset();
    polling_hosts_ = false;
    appending_ = 0;
}

void platform_gateway::call(runtime::http_call request, done_function done)
{
    const auto holder = std::make_shared<std::shared_ptr<runtime::http_client_call>>();
    *holder = client_->send(std::move(request),
                            [this, holder, done = std::move(done)](runtime::call_result result) {
                                calls_.erase(*holder);
                                done(std::move(result));
                            });
    calls_.insert(*holder);
}

duration platform_gateway::backoff(unsigned failures)
{
    const auto doubled = first_backoff * (1U << std::min(failures, 6U));
    const auto limit = std::min(doubled, longest_backoff);
    return limit / 2 + uniform_duration(random_, limit / 2);
}

void platform_gateway::read(reader& one)
{
    const auto from = one.offset(loop_.core());
    runtime::http_call request;
    request.method = "GET";
    request.url = "http://" + address_ + "/log/" + one.stream + "?from=" + std::to_string(from) +
                  "&limit=" + std::to_string(read_limit) +
                  "&wait_ms=" + std::to_string(to_ms(one.wait));
    request.timeout = one.wait + call_deadline;
    request.max_response_bytes = max_read_bytes;
    const auto asked_at = boot_clock::now();
    ++reads_;
    call(std::move(request), [this, &one, from, asked_at](runtime::call_result result) {
        read_ended(one, from, asked_at, std::move(result));
    });
}

void platform_gateway::read_ended(reader& one, std::uint64_t from, time_point asked_at,
                                  runtime::call_result result)
{
    const auto answer = parse_answer(result);
    const bool good = is_read_answer(answer) &&
                      std::all_of(answer["records"].begin(), answer["records"].end(), is_record);
    if (!good) {
        ++read_failures_;
        if (one.failures++ == 0)
            log_line{"log_unreadable"}
                .add("stream", one.stream)
                .add("outcome", to_name(result.outcome))
                .add("message", result.message)
                .warn();
        one.pause.once(backoff(one.failures), [this, &one] { read(one); });
        return;
    }
    if (one.failures > 0)
        log_line{"log_readable"}.add("stream", one.stream).write();
    one.failures = 0;
    (this->*one.take)(answer, from, asked_at);
    // A read that returned at once, without waiting, must not become a busy loop.
    const bool waited = boot_clock::now() - asked_at > one.wait / 2;
    const bool more = !reached_end(answer, from);
    one.pause.once(waited || more ? duration{0} : duration{milliseconds{20}},
                   [this, &one] { read(one); });
}

void platform_gateway::take_ownership(const json& answer, std::uint64_t from, time_point asked_at)
{
    ownership::log_read read;
    read.asked_at = asked_at;
    read.first = answer["first"];
    for (const auto& record : answer["records"])
        read.records.emplace_back(record["offset"], record["data"]);
    read.reached_end = reached_end(answer, from);
    loop_.event([&](auto& core, const auto& at) { core.ownership_read(read, at); });
}

void platform_gateway::take_config(const json& answer, std::uint64_t from, time_point /*asked_at*/)
{
    dispatch::config_read read;
    read.from = from;
    read.first = answer["first"];
    for (const auto& record : answer["records"])
        read.records.push_back({record["offset"], record["time_ms"], record["data"]});
    read.reached_end = reached_end(answer, from);
    loop_.event([&](auto& core, const auto& at) { core.config_was_read(read, at); });
}

void platform_gateway::poll_hosts()
{
    if (polling_hosts_)
        return;
    polling_hosts_ = true;
    ++host_polls_;
    runtime::http_call request;
    request.method = "GET";
    request.url = "http://" + address_ + "/hosts";
    request.timeout = call_deadline;
    request.max_response_bytes = max_read_bytes;
    if (!hosts_tag_.empty())
        request.headers.push_back({"If-None-Match", hosts_tag_});
    call(std::move(request), [this](const runtime::call_result& result) {
        polling_hosts_ = false;
        if (result.outcome == call_outcome::answered && result.status == 304) {
            apply_hosts(wall_now_ms());
            return;
        }
        const auto answer = parse_answer(result);
        if (!answer.is_object() || !answer.contains("hosts") || !answer["hosts"].is_array()) {
            ++host_poll_failures_;
            return;
        }
        hosts_tag_ = result.header("ETag");
        take_hosts(answer);
    });
}

void platform_gateway::take_hosts(const json& answer)
{
    listed_workers_.workers.clear();
    listed_hosts_.clear();
    for (const auto& host : answer["hosts"]) {
        if (!host.is_object())
            continue;
        const auto name = host.value("name", "");
        const auto role = host.value("role", "");
        if (role == "worker")
            listed_workers_.workers.push_back({name, host.value("state", "") == "leaving"});
        else if (role == "entry" && name != loop_.core().self().host)
            listed_hosts_.push_back({host.value("domain", ""), name, host.value("address", "")});
    }
    apply_hosts(answer.value("as_of_ms", wall_now_ms()));
}

void platform_gateway::apply_hosts(wall_ms as_of)
{
    const auto now = core_loop::now();
    listed_workers_.as_of =
        now.boot - std::max(duration{milliseconds{now.wall - as_of}}, duration{0});
    loop_.event([this](auto& core, const auto& at) {
        core.platform_hosts(listed_workers_, listed_hosts_, at);
    });
}

void platform_gateway::append(dispatch::append_record record)
{
    if (queue_.size() == max_queued_appends) {
        loop_.event([&](auto& core, const auto& at) {
            core.append_ended(record.stream, record.record_id, append_outcome::not_written, at);
        });
        return;
    }
    queue_.push_back(std::move(record));
    send_appends();
}

void platform_gateway::send_appends()
{
    const auto hosts = static_cast<std::int64_t>(loop_.core().settings().entry_hosts.size());
    while (client_ && !queue_.empty() && budget_.take(boot_clock::now(), hosts)) {
        const auto record = std::move(queue_.front());
        queue_.pop_front();
        runtime::http_call request;
        request.url = "http://" + address_ + "/log/" + record.stream;
        request.body = record.text;
        request.timeout = call_deadline;
        ++appending_;
        ++appends_;
        call(std::move(request),
             [this, record](const runtime::call_result& result) { append_ended(record, result); });
    }
}

void platform_gateway::append_ended(const dispatch::append_record& record,
                                    const runtime::call_result& result)
{
    --appending_;
    const auto outcome = outcome_of(result);
    if (outcome == append_outcome::may_have_been_written)
        ++appends_unknown_;
    loop_.event([&](auto& core, const auto& at) {
        core.append_ended(record.stream, record.record_id, outcome, at);
    });
}

} // namespace chivewharf::daemon
