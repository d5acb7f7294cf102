#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <wire/messages.h>
#include <wire/wire_error.h>

namespace chivewharf::wire {

/// Bytes of the little-endian length before each frame. The length does not count itself.
inline constexpr std::size_t length_bytes = 4;

/// Largest frame on an authenticated link.
inline constexpr std::size_t max_frame_bytes = 4U << 20U;

/// Largest frame before the handshake is done: a stranger must not make the host hold memory.
inline constexpr std::size_t max_handshake_frame_bytes = 512;

/// Longest name, id or address, and most entries in a member report. FlatBuffers lets many offsets
/// share one string, so without these limits a small frame could decode into gigabytes.
inline constexpr std::size_t max_name_bytes = 255;
inline constexpr std::size_t max_report_entries = 1024;
inline constexpr std::size_t max_retired_incarnations = 64;
inline constexpr std::size_t max_lent_slots = 256;
inline constexpr std::size_t max_slot_epochs = 64;
inline constexpr std::size_t max_service_loads = 256;
inline constexpr std::size_t max_job_steps = 256;
inline constexpr std::size_t max_claims = 64;
/// Most shards that a failure domain can have.
inline constexpr std::uint32_t max_shards = 4096;

/// Frame of the message, with its length. The caller keeps to the limits above: a frame beyond
/// them is refused by the peer's decoder.
std::string encode(const message& m);

/// Cuts a stream of bytes into messages. It starts with the limit of an unauthenticated link. Feed
/// it what the socket delivers, then call `next` until it yields none. After an error the link must
/// be closed: the decoder repeats the error and holds no more bytes.
class frame_decoder {
public:
    /// Adds received bytes. Memory is bounded by the bytes that were received.
    void feed(std::string_view bytes);

    /// The next whole message; none if more bytes are needed. Errors: `bad_length`, `too_large`,
    /// `verification_failed`, `unknown_type`, `missing_field`.
    result<std::optional<message>, wire_error> next();

    /// Raises the limit to `max_frame_bytes`. Call it once the peer's proof has been accepted.
    void handshake_done() noexcept { limit_ = max_frame_bytes; }

    /// Bytes held that do not yet form a message.
    std::size_t buffered() const noexcept { return buffer_.size() - start_; }

private:
    unexpected<wire_error> fail(wire_error error);

    std::string buffer_;
    std::size_t start_ = 0;
    std::size_t limit_ = max_handshake_frame_bytes;
    std::optional<wire_error> error_;
};

} // namespace chivewharf::wire
