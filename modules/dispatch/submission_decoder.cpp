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

/// Position of the parser in the body.
enum class position { start, body, tasks, task, payload, done };

/// SAX handler that decodes the body in one pass. A document model would lose digits of large
/// numbers in payloads and would not detect duplicate keys.
class body_reader {
public:
    using number_integer_t = json::number_integer_t;
    using number_unsigned_t = json::number_unsigned_t;
    using number_float_t = json::number_float_t;
    using string_t = json::string_t;
    using binary_t = json::binary_t;

    explicit body_reader(const body_limits& limits) : limits_{limits} {}

    bool null() { return add_scalar("null", "null"); }
    bool boolean(bool value) { return add_scalar(value ? "true" : "false", "a boolean"); }
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
    bool parse_error(std::size_t offset, const std::string& /*token*/,
                     const json::exception& /*error*/)
    {
        if (error_.message.empty())
            fail("body is not valid JSON at byte " + std::to_string(offset));
        return false;
    }

    /// Called when parsing ended early; keeps an error that was already recorded.
    void parser_stopped()
    {
        if (error_.cause == reason::none)
            fail("body is not valid JSON");
    }

    /// Returns the decoded body, or the first error.
    result<submission_body, body_error> finish();

    bool fail(std::string message, reason cause = reason::malformed_request)
    {
        error_ = {cause, std::move(message)};
        return false;
    }

private:
    bool number(double value, const std::string& text);
    bool add_scalar(std::string_view text, std::string_view what);
    bool open_container(char bracket);
    bool close_container(char bracket);
    void add_separator();
    std::string path() const;
    bool wrong_type(std::string_view found, std::string_view expected)
    {
        return fail(path() + ": found " + std::string{found} + ", expected " +
                    std::string{expected});
    }
    std::string_view expected_type() const;
    bool start_task();
    bool end_task();

    body_limits limits_;
    submission_body body_;
    body_error error_{reason::none, {}};
    position position_ = position::start;
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
    if (position_ == position::start)
        return "body";
    if (position_ == position::body)
        return key_;
    const std::string task = "tasks[" + std::to_string(body_.tasks.size() - 1) + ']';
    if (position_ == position::tasks)
        return "tasks[" + std::to_string(body_.tasks.size()) + ']';
    return task + '.' + key_;
}

std::string_view body_reader::expected_type() const
{
    if (position_ == position::start)
        return "an object";
    if (position_ == position::tasks)
        return "an object";
    if (key_ == "service" || key_ == "kind")
        return "a string";
    if (key_ == "tasks")
        return "an array";
    return "a positive number of milliseconds";
}

void body_reader::add_separator()
{
    if (!payload_.empty() && !after_key_ && payload_.back() != '[' && payload_.back() != '{')
        payload_ += ',';
    after_key_ = false;
}

bool body_reader::add_scalar(std::string_view text, std::string_view what)
{
    const bool starts_payload = position_ == position::task && key_ == "payload";
    if (!starts_payload && position_ != position::payload)
        return wrong_type(what, expected_type());
    add_separator();
    payload_ += text;
    has_payload_ = true;
    return true;
}

bool body_reader::number(double value, const std::string& text)
{
    if (position_ == position::payload || (position_ == position::task && key_ == "payload"))
        return add_scalar(text, "a number");
    const bool deadline = position_ == position::body && key_ == "deadline_ms";
    const bool declared = position_ == position::task && key_ == "declared_ms";
    if (!deadline && !declared)
        return wrong_type("a number", expected_type());
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
    if (position_ == position::payload || (position_ == position::task && key_ == "payload"))
        return add_scalar(quote_json(value), "a string");
    const bool service = position_ == position::body && key_ == "service";
    const bool kind = position_ == position::task && key_ == "kind";
    if (!service && !kind)
        return wrong_type("a string", expected_type());
    // Names are sent in header fields, where other characters would corrupt the message.
    const bool printable = std::all_of(value.begin(), value.end(),
                                       [](unsigned char c) { return c > ' ' && c < 0x7f; });
    if (value.empty() || value.size() > max_name_bytes || !printable)
        return fail(path() + ": expected 1 to " + std::to_string(max_name_bytes) +
                    " printable ASCII characters without space");
    (service ? body_.service : body_.tasks.back().kind) = std::move(value);
    return true;
}

bool body_reader::open_container(char bracket)
{
    if (payload_depth_ == max_depth)
        return fail(path() + ": nested deeper than " + std::to_string(max_depth) + " levels");
    add_separator();
    payload_ += bracket;
    ++payload_depth_;
    position_ = position::payload;
    return true;
}

bool body_reader::close_container(char bracket)
{
    payload_ += bracket;
    has_payload_ = true;
    if (--payload_depth_ == 0)
        position_ = position::task;
    return true;
}

bool body_reader::start_task()
{
    if (body_.tasks.size() == limits_.max_tasks)
        return fail("tasks: more than " + std::to_string(limits_.max_tasks) + " tasks",
                    reason::too_many_tasks);
    body_.tasks.emplace_back();
    position_ = position::task;
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
    position_ = position::tasks;
    return true;
}

bool body_reader::start_object(std::size_t /*size*/)
{
    keys_.emplace_back();
    if (position_ == position::start) {
        position_ = position::body;
        return true;
    }
    if (position_ == position::tasks)
        return start_task();
    if (position_ == position::payload || (position_ == position::task && key_ == "payload"))
        return open_container('{');
    return wrong_type("an object", expected_type());
}

bool body_reader::end_object()
{
    keys_.pop_back();
    if (position_ == position::payload)
        return close_container('}');
    if (position_ == position::task)
        return end_task();
    position_ = position::done;
    return true;
}

bool body_reader::start_array(std::size_t /*size*/)
{
    if (position_ == position::body && key_ == "tasks") {
        position_ = position::tasks;
        has_tasks_ = true;
        return true;
    }
    if (position_ == position::payload || (position_ == position::task && key_ == "payload"))
        return open_container('[');
    return wrong_type("an array", expected_type());
}

bool body_reader::end_array()
{
    if (position_ == position::payload)
        return close_container(']');
    position_ = position::body;
    return true;
}

bool body_reader::key(string_t& name)
{
    if (!keys_.back().insert(name).second)
        return fail("duplicate key \"" + name + '"');
    if (position_ == position::payload) {
        add_separator();
        payload_ += quote_json(name);
        payload_ += ':';
        after_key_ = true;
        return true;
    }
    key_ = name;
    const bool known = position_ == position::body
                           ? name == "service" || name == "deadline_ms" || name == "tasks"
                           : name == "kind" || name == "declared_ms" || name == "payload";
    return known || fail("unknown key \"" + path() + '"');
}

result<submission_body, body_error> body_reader::finish()
{
    if (error_.cause == reason::none && body_.service.empty())
        fail("service: missing");
    if (error_.cause == reason::none && (!has_tasks_ || body_.tasks.empty()))
        fail("tasks: expected at least one task");
    if (error_.cause != reason::none)
        return unexpected{std::move(error_)};
    return std::move(body_);
}

} // namespace

result<submission_body, body_error> decode_submission(std::string_view text,
                                                      const body_limits& limits)
{
    body_reader reader{limits};
    if (!json::sax_parse(text.begin(), text.end(), &reader, json::input_format_t::json, true))
        reader.parser_stopped();
    return reader.finish();
}

} // namespace chivewharf::dispatch
