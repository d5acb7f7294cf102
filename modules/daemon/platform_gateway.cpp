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

constexpr duration call_timeout = seconds{1};
/// How long the platform holds a read that finds no new records. Claiming an ownership slot
/// requires a read that began in the last 2 s. The configuration has no such requirement, so it is
/// read less often.
constexpr duration ownership_wait = milliseconds{1500};
constexpr duration config_wait = seconds{5};
constexpr std::size_t read_limit = 100;
constexpr std::size_t max_read_bytes = 128U << 20U;
constexpr duration initial_backoff = milliseconds{100};
constexpr duration max_backoff = seconds{2};
constexpr duration append_interval = milliseconds{50};
constexpr std::size_t max_queued_appends = 256;

append_outcome outcome_of(const runtime::call_result& result)
{
    if (result.outcome == call_outcome::not_sent)
        return append_outcome::not_written;
    if (result.outcome == call_outcome::answered && result.status == 200)
        return append_outcome::written;
    // A 4xx response means that the platform rejected the request before it wrote anything.
    if (result.outcome == call_outcome::answered && result.status >= 400 && result.status < 500)
        return append_outcome::not_written;
    return append_outcome::may_have_been_written;
}

json parse_response(const runtime::call_result& result)
{
    if (result.outcome != call_outcome::answered || result.status != 200)
        return json::value_t::discarded;
    return json::parse(result.body, nullptr, false);
}

bool is_read_response(const json& response)
{
    return response.is_object() && response.contains("first") &&
           response["first"].is_number_unsigned() && response.contains("next") &&
           response["next"].is_number_unsigned() && response.contains("records") &&
           response["records"].is_array();
}

bool is_record(const json& record)
{
    return record.is_object() && record.contains("offset") &&
           record["offset"].is_number_unsigned() && record.contains("time_ms") &&
           record["time_ms"].is_number_integer() && record.contains("data") &&
           record["data"].is_string();
}

/// Whether a read that began at offset `from` returned everything up to the end of the stream.
bool reached_end(const json& response, std::uint64_t from)
{
    const auto& records = response["records"];
    const auto read_to = records.empty() ? std::max(from, response["first"].get<std::uint64_t>())
                                         : records.back()["offset"].get<std::uint64_t>() + 1;
    return read_to >= response["next"].get<std::uint64_t>() && records.size() < read_limit;
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
    ownership_.next_offset = [](dispatch::entry_host& core) { return core.ownership_offset(); };
    ownership_.handle_records = &platform_gateway::handle_ownership_records;
    ownership_.wait = ownership_wait;
    config_.stream = dispatch::config_service::stream;
    config_.next_offset = [](dispatch::entry_host& core) { return core.config_offset(); };
    config_.handle_records = &platform_gateway::handle_config_records;
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
    ownership_.next_read.cancel();
    config_.next_read.cancel();
    const auto open = std::exchange(calls_, {});
    for (const auto& open_call : open)
        open_call->abandon();
    client_.reset();
    polling_hosts_ = false;
    appending_ = 0;
}

void platform_gateway::send(runtime::http_call request, done_function done)
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
    const auto doubled = initial_backoff * (1U << std::min(failures, 6U));
    const auto limit = std::min(doubled, max_backoff);
    return limit / 2 + uniform_duration(random_, limit / 2);
}

void platform_gateway::read(stream_reader& reader)
{
    const auto from = reader.next_offset(loop_.core());
    runtime::http_call request;
    request.method = "GET";
    request.url = "http://" + address_ + "/log/" + reader.stream + "?from=" + std::to_string(from) +
                  "&limit=" + std::to_string(read_limit) +
                  "&wait_ms=" + std::to_string(to_ms(reader.wait));
    request.timeout = reader.wait + call_timeout;
    request.max_response_bytes = max_read_bytes;
    const auto asked_at = boot_clock::now();
    ++reads_;
    send(std::move(request), [this, &reader, from, asked_at](runtime::call_result result) {
        read_ended(reader, from, asked_at, std::move(result));
    });
}

void platform_gateway::read_ended(stream_reader& reader, std::uint64_t from, time_point asked_at,
                                  runtime::call_result result)
{
    const auto response = parse_response(result);
    const bool valid =
        is_read_response(response) &&
        std::all_of(response["records"].begin(), response["records"].end(), is_record);
    if (!valid) {
        ++read_failures_;
        if (reader.failures++ == 0)
            log_line{"log_unreadable"}
                .add("stream", reader.stream)
                .add("outcome", to_name(result.outcome))
                .add("message", result.message)
                .warn();
        reader.next_read.once(backoff(reader.failures), [this, &reader] { read(reader); });
        return;
    }
    if (reader.failures > 0)
        log_line{"log_readable"}.add("stream", reader.stream).write();
    reader.failures = 0;
    (this->*reader.handle_records)(response, from, asked_at);
    // Without a pause, reads that return at once with no records would become a busy loop.
    const bool waited = boot_clock::now() - asked_at > reader.wait / 2;
    const bool more = !reached_end(response, from);
    reader.next_read.once(waited || more ? duration{0} : duration{milliseconds{20}},
                          [this, &reader] { read(reader); });
}

void platform_gateway::handle_ownership_records(const json& response, std::uint64_t from,
                                                time_point asked_at)
{
    ownership::log_read read;
    read.requested_at = asked_at;
    read.first = response["first"];
    for (const auto& record : response["records"])
        read.records.emplace_back(record["offset"], record["data"]);
    read.reached_end = reached_end(response, from);
    loop_.event([&](auto& core, const auto& at) { core.ownership_read(read, at); });
}

void platform_gateway::handle_config_records(const json& response, std::uint64_t from,
                                             time_point /*asked_at*/)
{
    dispatch::config_read read;
    read.from = from;
    read.first = response["first"];
    for (const auto& record : response["records"])
        read.records.push_back({record["offset"], record["time_ms"], record["data"]});
    read.reached_end = reached_end(response, from);
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
    request.timeout = call_timeout;
    request.max_response_bytes = max_read_bytes;
    if (!hosts_etag_.empty())
        request.headers.push_back({"If-None-Match", hosts_etag_});
    send(std::move(request), [this](const runtime::call_result& result) {
        polling_hosts_ = false;
        if (result.outcome == call_outcome::answered && result.status == 304) {
            report_hosts(wall_now_ms());
            return;
        }
        const bool listed = result.outcome == call_outcome::answered && result.status == 200;
        const auto list = decode_host_list(listed ? result.body : std::string{});
        if (!list) {
            ++host_poll_failures_;
            return;
        }
        hosts_etag_ = result.header("ETag");
        handle_host_list(*list);
    });
}

void platform_gateway::handle_host_list(const host_list& list)
{
    listed_workers_.workers.clear();
    listed_hosts_.clear();
    for (const auto& host : list.hosts) {
        if (host.role == "worker")
            listed_workers_.workers.push_back({host.name, host.state == "leaving"});
        else if (host.role == "entry" && host.name != loop_.core().self().host)
            listed_hosts_.push_back({host.domain, host.name, host.address});
    }
    report_hosts(list.as_of.value_or(wall_now_ms()));
}

void platform_gateway::report_hosts(wall_ms as_of)
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
        request.timeout = call_timeout;
        ++appending_;
        ++appends_;
        send(std::move(request),
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
