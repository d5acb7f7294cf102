#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace chivewharf {

/// Builds the log line of an event: a single line of key=value pairs. A value that is empty or
/// contains a space, a quote, an equals sign, a backslash or a control character is quoted and
/// escaped, so that every line can be parsed back into the same pairs.
class log_line {
public:
    explicit log_line(std::string_view event);

    log_line& add(std::string_view key, std::string_view value);
    log_line& add(std::string_view key, const char* value)
    {
        return add(key, std::string_view{value});
    }
    log_line& add(std::string_view key, std::int64_t value);
    log_line& add(std::string_view key, std::uint64_t value);
    log_line& add(std::string_view key, int value) { return add(key, std::int64_t{value}); }
    log_line& add(std::string_view key, unsigned value) { return add(key, std::uint64_t{value}); }
    log_line& add(std::string_view key, double value);

    const std::string& str() const noexcept { return text_; }

    /// Writes the line to the log at level INFO.
    void write() const;

    /// Writes the line to the log at level WARNING.
    void warn() const;

    /// Writes the line to the log at level ERROR.
    void error() const;

private:
    std::string text_;
};

} // namespace chivewharf
