#include <dispatch/submission_decoder.h>

#include <algorithm>
#include <cmath>
#include <dispatch/json_text.h>
#include <limits>
#include <nlohmann/json.hpp>
#include <unordered_set>

namespace chivewharf::dispatch {

namespace {

using nlohmann::json;

constexpr std::size_t max_depth = 64;
constexpr double max_declared_ms = 24.0 * 3600 * 1000;
constexpr std::size_t max_name_bytes = 128;

/// Where in the body the parser is.
enum class place { before, body, tasks, task, payload, done };

/// Reads the body in one pass. A document model would lose the digits of large numbers in payloads
/// and would not show duplicate keys.
class body_reader {
public:
    using number_integer_t = json::number_integer_t;
    using number_unsigned_t = json::number_unsigned_t;
    using number_float_t = json::number_float_t;
    using string_t = json::string_t;
    using binary_t = json::binary_t;

    explicit body_reader(const body_limits& limits) : limits_{limits} {}

    bool null() { return scalar("null", "null"); }
    bool boolean(bool value) { return scalar(value ? "true" : "false", "a boolean"); }
    bool number_integer(number_integer_t value)
    {
        // The parser passes zero as a signed number only for "-0".
        return number(static_cast<double>(value), value == 0 ? "-0" : std::to_string(value));
    }
    bool number_unsigned(number_unsigned_t value)
    {
        return number(static_cast<double>(value), std::to_string(value));
    }
    bool number_float(number_float_t value, const string_t& text) { return number(value, text); }
    bool string(string_t& value);
    bool binary(binary_t& /*value*/) { return fail("binary value is not JSON"); }
    bool start_object(std::size_t /*size*/);
    bool end_object();
    bool start_array(std::size_t /*size*/);
    bool end_array();
    bool key(string_t& name);
    bool parse_error(std::size_t position, const std::string& /*token*/,
                     const json::exception& /*error*/)
    {
        if (error_.message.empty())
            fail("body is not valid JSON at byte " + std::to_string(position));
        return false;
    }

    /// Notes that the parser gave up; keeps the first error.
    void stopped()
    {
        if (error_.why == reason::none)
            fail("body is not valid JSON");
    }

    /// The decoded body, or the first error.
    result<submission_body, body_error> finish();

    bool fail(std::string message, reason why = reason::malformed_request)
    {
        error_ = {why, std::move(message)};
        return false;
    }

private:
    bool number(double value, const std::string& text);
    bool scalar(std::string_view text, std::string_view what);
    bool open(char bracket);
    bool close(char bracket);
    void separate();
    std::string path() const;
    bool wrong_type(std::string_view found, std::string_view expected)
    {
        return fail(path() + ": found " + std::string{found} + ", expected " +
                    std::string{expected});
    }
    std::string_view expectation() const;
    bool start_task();
    bool end_task();

    body_limits limits_;
    submission_body body_;
    body_error error_{reason::none, {}};
    place place_ = place::before;
    std::string key_;
    std::vector<std::unordered_set<std::string>> keys_;
    bool has_tasks_ = false;
    bool has_payload_ = false;
    std::size_t payload_depth_ = 0;
    std::string payload_;
    bool after_key_ = false;
};

std::string body_reader::path() const
{
    if (place_ == place::before)
        return "body";
    if (place_ == place::body)
        return key_;
    const std::string task = "tasks[" + std::to_string(body_.tasks.size() - 1) + ']';
    if (place_ == place::tasks)
        return "tasks[" + std::to_string(body_.tasks.size()) + ']';
    return task + '.' + key_;
}

std::string_view body_reader::expectation() const
{
    if (place_ == place::before)
        return "an object";
    if (place_ == place::tasks)
        return "an object";
    if (key_ == "service" || key_ == "kind")
        return "a string";
    if (key_ == "tasks")
        return "an array";
    return "a positive number of milliseconds";
}

void body_reader::separate()
{
    if (!payload_.empty() && !after_key_ && payload_.back() != '[' && payload_.back() != '{')
        payload_ += ',';
    after_key_ = false;
}

bool body_reader::scalar(std::string_view text, std::string_view what)
{
    const bool starts_payload = place_ == place::task && key_ == "payload";
    if (!starts_payload && place_ != place::payload)
        return wrong_type(what, expectation());
    separate();
    payload_ += text;
    has_payload_ = true;
    return true;
}

bool body_reader::number(double value, const std::string& text)
{
    if (place_ == place::payload || (place_ == place::task && key_ == "payload"))
        return scalar(text, "a number");
    const bool deadline = place_ == place::body && key_ == "deadline_ms";
    const bool declared = place_ == place::task && key_ == "declared_ms";
    if (!deadline && !declared)
        return wrong_type("a number", expectation());
    if (!std::isfinite(value) || value <= 0 || value > max_declared_ms)
        return fail(path() + ": " + text + " is not in (0, 86400000] milliseconds");
    const auto time = from_seconds(value / 1000.0);
    if (deadline)
        body_.deadline = time;
    else
        body_.tasks.back().declared = time;
    return true;
}

bool body_reader::string(string_t& value)
{
    if (place_ == place::payload || (place_ == place::task && key_ == "payload"))
        return scalar(quote_json(value), "a string");
    const bool service = place_ == place::body && key_ == "service";
    const bool kind = place_ == place::task && key_ == "kind";
    if (!service && !kind)
        return wrong_type("a string", expectation());
    // Names travel in header fields, where other characters would break the message.
    const bool printable = std::all_of(value.begin(), value.end(),
                                       [](unsigned char c) { return c > ' ' && c < 0x7f; });
    if (value.empty() || value.size() > max_name_bytes || !printable)
        return fail(path() + ": expected 1 to " + std::to_string(max_name_bytes) +
                    " printable ASCII characters without space");
    (service ? body_.service : body_.tasks.back().kind) = std::move(value);
    return true;
}

bool body_reader::open(char bracket)
{
    if (payload_depth_ == max_depth)
        return fail(path() + ": nested deeper than " + std::to_string(max_depth) + " levels");
    separate();
    payload_ += bracket;
    ++payload_depth_;
    place_ = place::payload;
    return true;
}

bool body_reader::close(char bracket)
{
    payload_ += bracket;
    has_payload_ = true;
    if (--payload_depth_ == 0)
        place_ = place::task;
    return true;
}

bool body_reader::start_task()
{
    if (body_.tasks.size() == limits_.max_tasks)
        return fail("tasks: more than " + std::to_string(limits_.max_tasks) + " tasks",
                    reason::too_many_tasks);
    body_.tasks.emplace_back();
    place_ = place::task;
    has_payload_ = false;
    payload_.clear();
    return true;
}

bool body_reader::end_task()
{
    if (!has_payload_) {
        key_ = "payload";
        return fail(path() + ": missing");
    }
    body_.tasks.back().payload = std::move(payload_);
    payload_.clear();
    place_ = place::tasks;
    return true;
}

bool body_reader::start_object(std::size_t /*size*/)
{
    keys_.emplace_back();
    if (place_ == place::before) {
        place_ = place::body;
        return true;
    }
    if (place_ == place::tasks)
        return start_task();
    if (place_ == place::payload || (place_ == place::task && key_ == "payload"))
        return open('{');
    return wrong_type("an object", expectation());
}

bool body_reader::end_object()
{
    keys_.pop_back();
    if (place_ == place::payload)
        return close('}');
    if (place_ == place::task)
        return end_task();
    place_ = place::done;
    return true;
}

bool body_reader::start_array(std::size_t /*size*/)
{
    if (place_ == place::body && key_ == "tasks") {
        place_ = place::tasks;
        has_tasks_ = true;
        return true;
    }
    if (place_ == place::payload || (place_ == place::task && key_ == "payload"))
        return open('[');
    return wrong_type("an array", expectation());
}

bool body_reader::end_array()
{
    if (place_ == place::payload)
        return close(']');
    place_ = place::body;
    return true;
}

bool body_reader::key(string_t& name)
{
    if (!keys_.back().insert(name).second)
        return fail("duplicate key \"" + name + '"');
    if (place_ == place::payload) {
        separate();
        payload_ += quote_json(name);
        payload_ += ':';
        after_key_ = true;
        return true;
    }
    key_ = name;
    const bool known = place_ == place::body
                           ? name == "service" || name == "deadline_ms" || name == "tasks"
                           : name == "kind" || name == "declared_ms" || name == "payload";
    return known || fail("unknown key \"" + path() + '"');
}

result<submission_body, body_error> body_reader::finish()
{
    if (error_.why == reason::none && body_.service.empty())
        fail("service: missing");
    if (error_.why == reason::none && (!has_tasks_ || body_.tasks.empty()))
        fail("tasks: expected at least one task");
    if (error_.why != reason::none)
        return unexpected{std::move(error_)};
    return std::move(body_);
}

} // namespace

result<submission_body, body_error> decode_submission(std::string_view text,
                                                      const body_limits& limits)
{
    body_reader reader{limits};
    if (!json::sax_parse(text.begin(), text.end(), &reader, json::input_format_t::json, true))
        reader.stopped();
    return reader.finish();
}

} // namespace chivewharf::dispatch
