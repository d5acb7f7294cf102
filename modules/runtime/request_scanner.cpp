#include <runtime/request_scanner.h>

#include <algorithm>
#include <charconv>

namespace chivewharf::runtime {

namespace {

constexpr std::string_view content_length_name = "content-length";
constexpr std::string_view transfer_encoding_name = "transfer-encoding";
/// Longest name that has to be recognised, and one byte more to tell a longer name from it.
constexpr std::size_t kept_name_bytes = transfer_encoding_name.size() + 1;
/// Values that determine the body's length are short; a longer one is malformed.
constexpr std::size_t max_kept_value_bytes = 64;
constexpr std::uint64_t max_body_length = std::uint64_t{1} << 62U;

char to_lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool is_blank(char c)
{
    return c == ' ' || c == '\t';
}

std::string_view trim(std::string_view text)
{
    while (!text.empty() && is_blank(text.front()))
        text.remove_prefix(1);
    while (!text.empty() && is_blank(text.back()))
        text.remove_suffix(1);
    return text;
}

/// \return -1 if the character is not a hexadecimal digit
int hex_digit(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    const char lower = to_lower(c);
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

/// True if the byte may not occur within a line, or ends it.
bool is_line_break(char c)
{
    return c == '\r' || c == '\n' || c == '\0';
}

} // namespace

std::size_t request_scanner::scan(std::string_view bytes, const scan_limits& limits)
{
    if (ended_)
        begin_request();
    std::size_t at = 0;
    while (at < bytes.size() && !ended_ && violation_ == reason::none) {
        const auto rest = bytes.substr(at);
        if (place_ == place::body || place_ == place::chunk_data)
            at += skip_body(rest);
        else if (place_ < place::body)
            at += scan_head(rest, limits);
        else
            chunk_byte(bytes[at++]);
    }
    return at;
}

void request_scanner::begin_request()
{
    *this = request_scanner{};
}

std::size_t request_scanner::scan_head(std::string_view bytes, const scan_limits& limits)
{
    std::size_t at = 0;
    while (at < bytes.size() && place_ < place::body && !ended_) {
        // The bytes of a value that nobody needs are skipped up to the end of the line.
        const bool skips = place_ == place::request_line ||
                           (place_ == place::field_value && field_ == field::other);
        auto next = at;
        while (skips && next < bytes.size() && !is_line_break(bytes[next]))
            ++next;
        if (next > at && place_ == place::request_line)
            old_version_ = bytes[next - 1] != '1';
        size_.head_bytes += next - at;
        at = next;
        if (at < bytes.size()) {
            ++size_.head_bytes;
            head_byte(bytes[at++]);
        }
        if (size_.head_bytes > limits.max_head_bytes ||
            (limits.max_head_lines != 0 && size_.lines > limits.max_head_lines + 1))
            fail(reason::header_too_large);
        if (violation_ != reason::none)
            break;
    }
    return at;
}

void request_scanner::head_byte(char c)
{
    if (place_ == place::line_feed)
        return c == '\n' ? end_line() : fail(reason::malformed_request);
    if (c == '\0' || c == '\n')
        return fail(reason::malformed_request);
    if (place_ == place::line_start)
        return start_line(c);
    if (c == '\r') {
        if (place_ == place::field_name)
            return fail(reason::malformed_request);
        place_ = place::line_feed;
        return;
    }
    if (place_ == place::field_name)
        return name_byte(c);
    if (field_ == field::other)
        return;
    if (value_.size() == max_kept_value_bytes)
        return fail(reason::malformed_request);
    value_.push_back(c);
}

void request_scanner::start_line(char c)
{
    ++size_.lines;
    empty_line_ = c == '\r';
    field_ = field::other;
    if (empty_line_)
        place_ = place::line_feed;
    else if (is_blank(c) || c == ':')
        fail(reason::malformed_request);
    else if (first_line_)
        place_ = place::request_line;
    else {
        place_ = place::field_name;
        name_.assign(1, to_lower(c));
    }
}

void request_scanner::name_byte(char c)
{
    if (c == ':')
        return end_name();
    if (is_blank(c))
        return fail(reason::malformed_request);
    if (name_.size() < kept_name_bytes)
        name_.push_back(to_lower(c));
}

void request_scanner::end_name()
{
    place_ = place::field_value;
    value_.clear();
    // Fields of a trailer do not determine the length of a body.
    if (in_trailer_)
        return;
    if (name_ == content_length_name)
        field_ = field::content_length;
    else if (name_ == transfer_encoding_name)
        field_ = field::transfer_encoding;
}

void request_scanner::end_line()
{
    place_ = place::line_start;
    if (empty_line_) {
        // Empty lines before a request are ignored (RFC 9112, section 2.2).
        if (!first_line_)
            end_head();
        return;
    }
    first_line_ = false;
    if (field_ != field::other)
        end_value();
}

void request_scanner::end_value()
{
    const auto value = trim(value_);
    if (field_ == field::content_length)
        return take_content_length(value);
    std::string lower{value};
    std::transform(lower.begin(), lower.end(), lower.begin(), to_lower);
    if (chunked_ || lower != "chunked")
        return fail(reason::malformed_request);
    chunked_ = true;
    if (has_length_ || old_version_)
        fail(reason::ambiguous_length);
}

void request_scanner::take_content_length(std::string_view value)
{
    std::uint64_t length = 0;
    const auto* end = value.data() + value.size();
    const auto parsed = std::from_chars(value.data(), end, length);
    if (value.empty() || parsed.ptr != end || parsed.ec != std::errc{} || length > max_body_length)
        return fail(reason::malformed_request);
    if (chunked_ || (has_length_ && length != length_))
        return fail(reason::ambiguous_length);
    has_length_ = true;
    length_ = length;
}

void request_scanner::end_head()
{
    if (chunked_ && !in_trailer_) {
        place_ = place::chunk_size;
        chunk_line_ = 0;
    }
    else if (length_ > 0) {
        place_ = place::body;
        remaining_ = length_;
    }
    else {
        ended_ = true;
    }
}

std::size_t request_scanner::skip_body(std::string_view bytes)
{
    const auto size = static_cast<std::size_t>(std::min<std::uint64_t>(remaining_, bytes.size()));
    remaining_ -= size;
    size_.body_bytes += size;
    if (remaining_ == 0 && place_ == place::body)
        ended_ = true;
    else if (remaining_ == 0)
        place_ = place::chunk_data_end;
    return size;
}

void request_scanner::chunk_byte(char c)
{
    switch (place_) {
    case place::chunk_size:
        return chunk_size_byte(c);
    case place::chunk_extension:
        if (c == '\r')
            place_ = place::chunk_line_feed;
        else if (c == '\n' || c == '\0' || ++chunk_line_ > max_chunk_line_bytes)
            fail(reason::malformed_request);
        return;
    case place::chunk_line_feed:
        return c == '\n' ? end_chunk_line() : fail(reason::malformed_request);
    case place::chunk_data_end:
        place_ = place::chunk_data_line_feed;
        return c == '\r' ? void() : fail(reason::malformed_request);
    default:
        place_ = place::chunk_size;
        chunk_line_ = 0;
        return c == '\n' ? void() : fail(reason::malformed_request);
    }
}

void request_scanner::chunk_size_byte(char c)
{
    const int digit = hex_digit(c);
    if (digit >= 0 && chunk_line_ < max_chunk_line_bytes) {
        remaining_ = (chunk_line_ == 0 ? 0 : remaining_ * 16) + static_cast<std::uint64_t>(digit);
        ++chunk_line_;
        if (remaining_ > max_body_length / 16)
            fail(reason::malformed_request);
        return;
    }
    if (chunk_line_ == 0)
        return fail(reason::malformed_request);
    if (c == '\r')
        place_ = place::chunk_line_feed;
    else if (c == ';' || is_blank(c))
        place_ = place::chunk_extension;
    else
        fail(reason::malformed_request);
}

void request_scanner::end_chunk_line()
{
    if (remaining_ > 0) {
        ++size_.chunks;
        place_ = place::chunk_data;
        return;
    }
    in_trailer_ = true;
    place_ = place::line_start;
}

void request_scanner::fail(reason why)
{
    if (violation_ == reason::none)
        violation_ = why;
}

} // namespace chivewharf::runtime
