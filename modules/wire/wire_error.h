#pragma once

#include <array>
#include <base/enum_names.h>
#include <base/result.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace chivewharf::wire {

/// Why a frame or a handshake was refused. Every one of them ends the link.
enum class wire_errc : std::uint8_t {
    bad_length,          ///< the length is too small to hold a frame
    too_large,           ///< the length exceeds the limit
    verification_failed, ///< the FlatBuffers verifier refused the buffer
    unknown_type,        ///< the union holds a type that this version does not know
    missing_field,       ///< a field is absent, or its value is outside its range
    unexpected_message,  ///< not the message that the handshake waits for
    version_mismatch,    ///< the peer speaks another major version
    wrong_proof,         ///< the proof does not match the key and both hellos
    reflected,           ///< the peer sent back our own nonce, proof or incarnation
    deadline_passed,     ///< the handshake took longer than its deadline
};

/// A refused frame or handshake. The message is for the log.
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
