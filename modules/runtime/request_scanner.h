#pragma once

#include <base/reason.h>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace chivewharf::runtime {

/// Limits of a request's head. Lines and field names that HTTP/1.1 does not allow are always
/// violations.
struct scan_limits {
    /// Maximum size of the request line and the header fields in bytes. The trailer of a chunked
    /// body is held to the same limit.
    std::size_t max_head_bytes = std::size_t{64} * 1024;
    /// Maximum number of header lines; 0 if only the bytes are limited.
    std::size_t max_head_lines = 0;
};

/// What one request has brought so far.
struct request_size {
    std::size_t head_bytes = 0;
    std::size_t lines = 0; ///< request line, header lines and trailer lines
    std::size_t body_bytes = 0;
    std::size_t chunks = 0;

    bool operator==(const request_size&) const = default;
};

/// Follows the bytes of a connection from request to request: heads, bodies of a given length and
/// chunked bodies. Sees each byte once and stores none except the value of a field that gives the
/// body's length. Performs no I/O.
class request_scanner {
public:
    /// Length of a chunk's size line without its line end, including extensions.
    static constexpr std::size_t max_chunk_line_bytes = 256;

    /// Scans bytes until the end of a request, the end of the input or a violation.
    /// \return number of bytes scanned
    std::size_t scan(std::string_view bytes, const scan_limits& limits);

    /// First violation of the connection; `none` if there is none. It is final.
    ///  - `header_too_large`: the head exceeds a limit
    ///  - `malformed_request`: a line has no colon or an empty name, contains NUL, a bare CR or a
    ///    bare LF, or is folded; or a length or chunk is not valid
    ///  - `ambiguous_length`: Content-Length beside Transfer-Encoding, or several that differ
    reason violation() const noexcept { return violation_; }

    /// Size of the request that is being received, or of the one that has just ended.
    const request_size& size() const noexcept { return size_; }

    /// True while a request has begun and has not ended.
    bool receiving() const noexcept { return !ended_ && size_.head_bytes > 0; }

    /// True if the last byte scanned ended a request. The next call begins a new one.
    bool at_end() const noexcept { return ended_; }

private:
    enum class place : std::uint8_t {
        line_start,
        request_line,
        field_name,
        field_value,
        line_feed, ///< CR was read; LF must follow
        body,
        chunk_size,
        chunk_extension,
        chunk_line_feed,
        chunk_data,
        chunk_data_end,
        chunk_data_line_feed,
    };
    /// Fields that determine the length of the body.
    enum class field : std::uint8_t { other, content_length, transfer_encoding };

    void begin_request();
    std::size_t scan_head(std::string_view bytes, const scan_limits& limits);
    void head_byte(char c);
    void start_line(char c);
    void name_byte(char c);
    void end_name();
    void end_line();
    void end_head();
    void end_value();
    void take_content_length(std::string_view value);
    std::size_t skip_body(std::string_view bytes);
    void chunk_byte(char c);
    void chunk_size_byte(char c);
    void end_chunk_line();
    void fail(reason why);

    place place_ = place::line_start;
    field field_ = field::other;
    reason violation_ = reason::none;
    request_size size_;
    std::string name_;  ///< start of the current field name, in lower case
    std::string value_; ///< value of the current field if it determines the body's length
    std::uint64_t length_ = 0;
    std::uint64_t remaining_ = 0; ///< bytes of the body or chunk that are still to come
    std::size_t chunk_line_ = 0;  ///< bytes of the chunk's size line
    bool first_line_ = true;
    bool empty_line_ = false;
    bool has_length_ = false;
    bool chunked_ = false;
    bool old_version_ = false; ///< the request line does not end in HTTP/1.1
    bool in_trailer_ = false;
    bool ended_ = false;
};

} // namespace chivewharf::runtime
