#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <wire/messages.h>
#include <wire/wire_error.h>

namespace chivewharf::wire {

/// Size of the little-endian length prefix of each frame. The length does not include the prefix.
inline constexpr std::size_t length_bytes = 4;

/// Maximum frame size on an authenticated link.
inline constexpr std::size_t max_frame_bytes = 4U << 20U;

/// Maximum frame size before the handshake is done. It limits the memory that an unauthenticated
/// peer can occupy.
inline constexpr std::size_t max_handshake_frame_bytes = 512;

/// Maximum length of a name, id or address, and maximum numbers of entries. In FlatBuffers many
/// offsets may refer to the same string, so without these limits a small frame could decode into
/// gigabytes.
inline constexpr std::size_t max_name_bytes = 255;
inline constexpr std::size_t max_report_entries = 1024;
inline constexpr std::size_t max_retired_incarnations = 64;
inline constexpr std::size_t max_lent_slots = 256;
inline constexpr std::size_t max_slot_epochs = 64;
inline constexpr std::size_t max_service_loads = 256;
inline constexpr std::size_t max_job_steps = 256;
inline constexpr std::size_t max_claims = 64;
inline constexpr std::size_t max_store_records = 1024;
inline constexpr std::size_t max_priority_waits = 8;
inline constexpr std::size_t max_drained_domains = 64;
/// Maximum number of shards in a failure domain.
inline constexpr std::uint32_t max_shards = 4096;

/// Encodes a message as a frame with its length prefix. The limits above are not checked here: the
/// peer's decoder rejects a frame that exceeds them.
std::string encode(const message& m);

/// Splits a byte stream into messages. Pass received bytes to `feed`, then call `next` until it
/// returns none. The decoder starts with the frame limit of an unauthenticated link. After an error
/// the link must be closed: the decoder keeps returning the error and discards all further bytes.
class frame_decoder {
public:
    /// Adds received bytes. Memory use is bounded by the number of bytes received.
    void feed(std::string_view bytes);

    /// Next complete message; none if more bytes are needed.
    /// \return `bad_length`, `too_large`, `verification_failed`, `unknown_type` or `missing_field`
    ///         on failure
    result<std::optional<message>, wire_error> next();

    /// Raises the frame limit to `max_frame_bytes`. Call it once the handshake is done.
    void handshake_done() noexcept { frame_limit_ = max_frame_bytes; }

    /// Number of buffered bytes that have not been returned as a message yet.
    std::size_t buffered() const noexcept { return buffer_.size() - start_; }

private:
    unexpected<wire_error> fail(wire_error error);

    std::string buffer_;
    std::size_t start_ = 0;
    std::size_t frame_limit_ = max_handshake_frame_bytes;
    std::optional<wire_error> error_;
};

} // namespace chivewharf::wire
