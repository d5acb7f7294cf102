#pragma once

#include <array>
#include <base/enum_names.h>
#include <base/result.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace chivewharf::wire {

/// Why a frame or a handshake was rejected. Every one of these errors closes the link.
enum class wire_errc : std::uint8_t {
    bad_length,          ///< the length prefix is too small for a frame
    too_large,           ///< the length prefix exceeds the limit
    verification_failed, ///< the FlatBuffers verifier rejected the buffer
    unknown_type,        ///< the message type is not known to this version
    missing_field,       ///< a field is missing or out of range
    unexpected_message,  ///< not the message that the handshake expects next
    version_mismatch,    ///< the peer uses another major version
    wrong_proof,         ///< the HMAC does not match the peer key and both hellos
    reflected,           ///< the peer returned this host's own nonce, proof or incarnation
    deadline_passed,     ///< the handshake was not completed by its deadline
};

/// A rejected frame or handshake. `message` is meant for the log.
struct wire_error {
    wire_errc code;
    std::string message;
};

} // namespace chivewharf::wire

namespace chivewharf {

template <>
struct enum_names<wire::wire_errc> {
    static constexpr std::array<std::string_view, 10> names{
        "bad_length",    "too_large",          "verification_failed", "unknown_type",
        "missing_field", "unexpected_message", "version_mismatch",    "wrong_proof",
        "reflected",     "deadline_passed"};
};

} // namespace chivewharf
