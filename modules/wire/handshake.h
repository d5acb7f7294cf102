#pragma once

#include <array>
#include <base/enum_names.h>
#include <base/rng.h>
#include <base/time.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <wire/messages.h>
#include <wire/wire_error.h>

namespace chivewharf::wire {

/// Time from the start of a connection within which both proofs must have been verified.
inline constexpr duration handshake_deadline = seconds{2};

/// Which end of the connection this host is. Each side has its own label in the proof, so that a
/// proof cannot be reflected to its sender.
enum class link_side : std::uint8_t { connecting, accepting };

/// Mutual authentication at the start of a link. Both sides send `hello` immediately; each answers
/// the peer's hello with a `proof`, an HMAC over both hellos. No other message is allowed on the
/// link until `done`.
class handshake {
public:
    /// Starts a handshake at `now`.
    /// \param self hello of this host; its nonce is replaced by one from `random`
    /// \param peer_key key shared with the peer
    /// \param random must be seeded from a source that a peer cannot predict
    handshake(link_side side, hello self, std::string peer_key, rng& random, time_point now);

    /// First message to send.
    const hello& greeting() const noexcept { return self_; }

    /// Handles a message from the peer and returns the reply to send, if any. After an error the
    /// caller must close the link.
    /// \return `unexpected_message`, `version_mismatch`, `wrong_proof`, `reflected` or
    ///         `deadline_passed` on failure
    result<std::optional<message>, wire_error> receive(const message& m, time_point now);

    /// Fails with `deadline_passed` if the handshake was not completed in time.
    result<void, wire_error> check(time_point now) const;

    /// Time at which to call `check`.
    time_point deadline() const noexcept { return deadline_; }

    /// True once the peer has proved that it has the key.
    bool done() const noexcept { return done_; }

    /// The peer's hello; none before it has arrived. It is not authenticated until `done`.
    const std::optional<hello>& peer() const noexcept { return peer_; }

private:
    using reply = result<std::optional<message>, wire_error>;
    reply receive_hello(const hello& peer);
    reply receive_proof(const proof& peer);
    sha256_digest make_proof(link_side sender) const;

    link_side side_;
    hello self_;
    std::string key_;
    time_point deadline_;
    std::optional<hello> peer_;
    bool done_ = false;
};

} // namespace chivewharf::wire

namespace chivewharf {

template <>
struct enum_names<wire::link_side> {
    static constexpr std::array<std::string_view, 2> names{"connecting", "accepting"};
};

} // namespace chivewharf
