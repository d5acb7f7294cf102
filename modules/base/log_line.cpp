#include <base/log_line.h>

#include <algorithm>
#include <base/time.h>
#include <cstdio>
#include <ctime>
#include <glog/logging.h>

namespace chivewharf {

namespace {

bool needs_quotes(std::string_view value)
{
    if (value.empty())
        return true;
    return std::any_of(value.begin(), value.end(), [](unsigned char c) {
        return c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f;
    });
}

void append_escaped(std::string& out, unsigned char c)
{
    if (c == '"' || c == '\\') {
        out += '\\';
        out += static_cast<char>(c);
    }
    else if (c < ' ' || c == 0x7f) {
        char hex[5];
        std::snprintf(hex, sizeof hex, "\\x%02x", c);
        out += hex;
    }
    else {
        out += static_cast<char>(c);
    }
}

/// `time=` pair with the current UTC time in milliseconds. It replaces glog's own prefix, which is
/// not in key=value form.
std::string utc_time()
{
    const auto now = wall_now_ms();
    const std::time_t unix_seconds = now / 1000;
    std::tm parts{};
    gmtime_r(&unix_seconds, &parts);
    char text[32];
    const auto size = std::strftime(text, sizeof text, "time=%Y-%m-%dT%H:%M:%S", &parts);
    char fraction[8];
    std::snprintf(fraction, sizeof fraction, ".%03uZ", static_cast<unsigned>(now % 1000) % 1000U);
    return std::string{text, size} + fraction;
}

} // namespace

log_line::log_line(std::string_view event)
{
    add("event", event);
}

log_line& log_line::add(std::string_view key, std::string_view value)
{
    if (!text_.empty())
        text_ += ' ';
    text_ += key;
    text_ += '=';
    if (!needs_quotes(value)) {
        text_ += value;
        return *this;
    }
    text_ += '"';
    for (const char c : value)
        append_escaped(text_, static_cast<unsigned char>(c));
    text_ += '"';
    return *this;
}

log_line& log_line::add(std::string_view key, std::int64_t value)
{
    return add(key, std::string_view{std::to_string(value)});
}

log_line& log_line::add(std::string_view key, std::uint64_t value)
{
    return add(key, std::string_view{std::to_string(value)});
}

log_line& log_line::add(std::string_view key, double value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.6g", value);
    return add(key, std::string_view{text});
}

void log_line::write() const
{
    LOG(INFO) << utc_time() << " level=info " << text_;
}

void log_line::warn() const
{
    LOG(WARNING) << utc_time() << " level=warning " << text_;
}

void log_line::error() const
{
    LOG(ERROR) << utc_time() << " level=error " << text_;
}

} // namespace chivewharf
