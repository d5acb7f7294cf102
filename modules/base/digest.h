#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace chivewharf {

using sha256_digest = std::array<std::uint8_t, 32>;
using body_digest = std::array<std::uint8_t, 16>;

/// SHA-256 digest of the data.
sha256_digest sha256(std::string_view data);

/// First 128 bits of the SHA-256 digest. They identify the body of a submission.
body_digest digest_body(std::string_view data);

/// HMAC-SHA256 of the data under the key.
sha256_digest hmac_sha256(std::string_view key, std::string_view data);

/// Lower-case hexadecimal representation of the bytes.
std::string to_hex(const std::uint8_t* data, std::size_t size);

/// The number as 16 lower-case hexadecimal digits.
std::string to_hex(std::uint64_t number);

/// Compares two digests in constant time, so that the time taken does not reveal where they differ.
bool equal_constant_time(const sha256_digest& a, const sha256_digest& b) noexcept;

/// 64-bit XXH3 hash. The value is the same on all hosts and in all versions, so it may be used to
/// decide which host is responsible for a key.
std::uint64_t stable_hash(std::string_view data, std::uint64_t seed = 0) noexcept;

} // namespace chivewharf
