#include <operator_cli/platform_log.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>

namespace chivewharf::operator_cli {

using configlog::append_outcome;
using configlog::publish_state;
using nlohmann::json;
using runtime::call_outcome;

namespace {

constexpr std::size_t read_limit = 100;
constexpr std::size_t max_read_bytes = std::size_t{128} * 1024 * 1024;
constexpr duration first_backoff = milliseconds{50};
constexpr duration longest_backoff = seconds{1};
constexpr duration call_timeout = seconds{1}; // deadline of platform calls on the design page

struct log_records {
    struct entry {
        std::uint64_t offset;
        wall_ms time;
        std::string data;
    };
    std::uint64_t first = 0;
    std::uint64_t next = 0;
    std::vector<entry> records;
};

/// None if the answer does not have the form of the platform's protocol.
std::optional<log_records> parse_answer(const runtime::call_result& result)
{
    if (result.outcome != call_outcome::answered || result.status != 200)
        return std::nullopt;
    const auto answer = json::parse(result.body, nullptr, false);
    if (!answer.is_object())
        return std::nullopt;
    try {
        log_records read;
        read.first = answer.at("first").get<std::uint64_t>();
        read.next = answer.at("next").get<std::uint64_t>();
        for (const auto& one : answer.at("records"))
            read.records.push_back({one.at("offset").get<std::uint64_t>(),
                                    one.at("time_ms").get<wall_ms>(),
                                    one.at("data").get<std::string>()});
        return read;
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
}

/// What an ended publication means to the operator.
cli_result<void> result_of(const configlog::config_publisher& publisher)
{
    switch (publisher.state()) {
    case publish_state::published:
        return {};
    case publish_state::lost:
        return unexpected(
            operator_cli_error{exit_status::conflict, "not published: " + publisher.detail()});
    case publish_state::rejected:
        return unexpected(
            operator_cli_error{exit_status::failed, "not published: " + publisher.detail()});
    default:
        return unexpected(operator_cli_error{
            exit_status::failed, "a later version is in force and " + publisher.detail()});
    }
}

operator_cli_error to_error(const configlog::configlog_error& error)
{
    using configlog::configlog_errc;
    const auto status = error.code == configlog_errc::conflict          ? exit_status::conflict
                        : error.code == configlog_errc::content_invalid ? exit_status::invalid
                                                                        : exit_status::failed;
    return {status, "not published: " + error.message};
}

/// The time is up. An append that was sent may even arrive later, so only one that never left is
/// known not to be in the log.
operator_cli_error undecided(std::string message, const std::string& record_id, bool may_be_written)
{
    message += "; record ";
    message += record_id;
    message += may_be_written ? " may be in the log: the command history shows it once the log can "
                                "be read"
                              : " is not in the log";
    return {exit_status::unreachable, std::move(message)};
}

bool decided(const configlog::config_publisher& publisher)
{
    return publisher.state() != publish_state::appending &&
           publisher.state() != publish_state::reading;
}

} // namespace

platform_log::platform_log(std::string address, time_point deadline)
    : address_{std::move(address)}, calls_{deadline}, random_{std::random_device{}()}
{
}

void platform_log::back_off(unsigned failures)
{
    const auto limit = std::min(first_backoff * (1U << std::min(failures, 6U)), longest_backoff);
    calls_.pause(limit / 2 + uniform_duration(random_, limit / 2));
}

cli_result<void> platform_log::read_to_end(configlog::config_history& history,
                                           configlog::config_publisher* publisher)
{
    unsigned failures = 0;
    while (true) {
        const auto from = history.next_offset();
        runtime::http_call call;
        call.method = "GET";
        call.url = "http://" + address_ + "/log/configuration?from=" + std::to_string(from) +
                   "&limit=" + std::to_string(read_limit);
        call.timeout = call_timeout;
        call.max_response_bytes = max_read_bytes;
        const auto result = calls_.run(std::move(call));
        const auto read = parse_answer(result);
        if (!read) {
            if (calls_.time_is_up())
                return unexpected(operator_cli_error{exit_status::unreachable,
                                                     "the platform at " + address_ +
                                                         " did not answer a read of the log in "
                                                         "time"});
            back_off(failures++);
            continue;
        }
        history.on_read(from, read->first);
        if (publisher != nullptr && history.has_gap())
            publisher->on_gap();
        for (const auto& one : read->records) {
            const auto entry = history.apply(one.offset, one.time, one.data);
            if (entry && publisher != nullptr)
                publisher->on_entry(*entry);
        }
        if (read->records.size() < read_limit && history.next_offset() >= read->next) {
            history.caught_up();
            if (publisher != nullptr)
                publisher->on_caught_up(history);
            return {};
        }
        // Records that the log neither holds nor skips would be asked for without an end.
        if (calls_.time_is_up())
            return unexpected(operator_cli_error{exit_status::unreachable,
                                                 "the log was not read to its end in time"});
    }
}

append_outcome platform_log::append(const std::string& data)
{
    runtime::http_call call;
    call.url = "http://" + address_ + "/log/configuration";
    call.body = data;
    call.timeout = call_timeout;
    const auto result = calls_.run(std::move(call));
    if (result.outcome == call_outcome::not_sent)
        return append_outcome::not_written;
    if (result.outcome != call_outcome::answered)
        return append_outcome::may_have_been_written;
    if (result.status == 200)
        return append_outcome::written;
    // The platform refuses a bad request before it writes anything.
    return result.status >= 400 && result.status < 500 ? append_outcome::not_written
                                                       : append_outcome::may_have_been_written;
}

cli_result<void> platform_log::publish(configlog::config_record record, std::int64_t expected,
                                       configlog::config_history& history)
{
    if (auto read = read_to_end(history); !read)
        return read;
    configlog::config_publisher publisher;
    const auto record_id = record.record_id;
    const auto started = publisher.publish(std::move(record), expected, history);
    if (!started)
        return unexpected(to_error(started.error()));
    std::optional<std::string> data = *started;
    bool may_be_written = false;
    unsigned failures = 0;
    while (!decided(publisher)) {
        if (data) {
            const auto outcome = append(*data);
            may_be_written = may_be_written || outcome != append_outcome::not_written;
            publisher.on_append(outcome);
        }
        if (auto read = read_to_end(history, &publisher); !read) {
            return unexpected(undecided(read.error().message, record_id, may_be_written));
        }
        data = publisher.retry();
        if (!decided(publisher)) {
            back_off(failures++);
            if (calls_.time_is_up())
                return unexpected(
                    undecided("the platform took no append in time", record_id, may_be_written));
        }
    }
    return result_of(publisher);
}

} // namespace chivewharf::operator_cli
