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
constexpr duration min_backoff = milliseconds{50};
constexpr duration max_backoff = seconds{1};
constexpr duration call_timeout = seconds{1}; // as the design page specifies for the platform

struct log_page {
    struct entry {
        std::uint64_t offset;
        wall_ms time;
        std::string data;
    };
    std::uint64_t first = 0;
    std::uint64_t next = 0;
    std::vector<entry> records;
};

/// Empty if the call failed or the response does not follow the platform's protocol.
std::optional<log_page> parse_log_page(const runtime::call_result& result)
{
    if (result.outcome != call_outcome::answered || result.status != 200)
        return std::nullopt;
    const auto answer = json::parse(result.body, nullptr, false);
    if (!answer.is_object())
        return std::nullopt;
    try {
        log_page page;
        page.first = answer.at("first").get<std::uint64_t>();
        page.next = answer.at("next").get<std::uint64_t>();
        for (const auto& record : answer.at("records"))
            page.records.push_back({record.at("offset").get<std::uint64_t>(),
                                    record.at("time_ms").get<wall_ms>(),
                                    record.at("data").get<std::string>()});
        return page;
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
}

/// Result of a publication whose outcome is decided.
cli_result<void> publication_result(const configlog::config_publisher& publisher)
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

/// Error for a publication that reached the deadline undecided. An append whose outcome
/// is unknown may still be written, so the record is known to be absent only if the outcome of
/// every append was `not_written`.
operator_cli_error undecided_error(std::string message, const std::string& record_id,
                                   bool may_be_in_log)
{
    message += "; record ";
    message += record_id;
    message += may_be_in_log ? " may be in the log: the command history shows it once the log can "
                               "be read"
                             : " is not in the log";
    return {exit_status::unreachable, std::move(message)};
}

bool is_decided(const configlog::config_publisher& publisher)
{
    return publisher.state() != publish_state::appending &&
           publisher.state() != publish_state::reading;
}

} // namespace

platform_log::platform_log(std::string address, time_point deadline)
    : address_{std::move(address)}, http_{deadline}, random_{std::random_device{}()}
{
}

void platform_log::back_off(unsigned failures)
{
    const auto max_delay = std::min(min_backoff * (1U << std::min(failures, 6U)), max_backoff);
    http_.pause(max_delay / 2 + uniform_duration(random_, max_delay / 2));
}

cli_result<void> platform_log::read_to_end(configlog::config_history& history,
                                           configlog::config_publisher* publisher)
{
    unsigned failures = 0;
    while (true) {
        const auto first_offset = history.next_offset();
        runtime::http_call call;
        call.method = "GET";
        call.url = "http://" + address_ +
                   "/log/configuration?from=" + std::to_string(first_offset) +
                   "&limit=" + std::to_string(read_limit);
        call.timeout = call_timeout;
        call.max_response_bytes = max_read_bytes;
        const auto result = http_.perform(std::move(call));
        const auto page = parse_log_page(result);
        if (!page) {
            if (http_.deadline_passed())
                return unexpected(operator_cli_error{exit_status::unreachable,
                                                     "the platform at " + address_ +
                                                         " did not answer a read of the log in "
                                                         "time"});
            back_off(failures++);
            continue;
        }
        history.on_read(first_offset, page->first);
        if (publisher != nullptr && history.has_gap())
            publisher->on_gap();
        for (const auto& record : page->records) {
            const auto entry = history.apply(record.offset, record.time, record.data);
            if (entry && publisher != nullptr)
                publisher->on_entry(*entry);
        }
        if (page->records.size() < read_limit && history.next_offset() >= page->next) {
            history.caught_up();
            if (publisher != nullptr)
                publisher->on_caught_up(history);
            return {};
        }
        // Without this check the loop would not end if the log announced records that it never
        // sends.
        if (http_.deadline_passed())
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
    const auto result = http_.perform(std::move(call));
    if (result.outcome == call_outcome::not_sent)
        return append_outcome::not_written;
    if (result.outcome != call_outcome::answered)
        return append_outcome::may_have_been_written;
    if (result.status == 200)
        return append_outcome::written;
    // The platform rejects an invalid request before it writes anything.
    return result.status >= 400 && result.status < 500 ? append_outcome::not_written
                                                       : append_outcome::may_have_been_written;
}

cli_result<void> platform_log::publish(configlog::config_record record,
                                       std::int64_t expected_version,
                                       configlog::config_history& history)
{
    if (auto read = read_to_end(history); !read)
        return read;
    configlog::config_publisher publisher;
    const auto record_id = record.record_id;
    const auto started = publisher.publish(std::move(record), expected_version, history);
    if (!started)
        return unexpected(to_error(started.error()));
    std::optional<std::string> data = *started;
    bool may_be_in_log = false;
    unsigned failures = 0;
    while (!is_decided(publisher)) {
        if (data) {
            const auto outcome = append(*data);
            may_be_in_log = may_be_in_log || outcome != append_outcome::not_written;
            publisher.on_append(outcome);
        }
        if (auto read = read_to_end(history, &publisher); !read) {
            return unexpected(undecided_error(read.error().message, record_id, may_be_in_log));
        }
        data = publisher.retry();
        if (!is_decided(publisher)) {
            back_off(failures++);
            if (http_.deadline_passed())
                return unexpected(undecided_error("the platform took no append in time", record_id,
                                                  may_be_in_log));
        }
    }
    return publication_result(publisher);
}

} // namespace chivewharf::operator_cli
