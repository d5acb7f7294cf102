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

/// Time from the start of a connection until both proofs must have been checked.
inline constexpr duration handshake_deadline = seconds{2};

/// Which end of the connection this host is. The label in the proof depends on it.
enum class link_side : std::uint8_t { connecting, accepting };

/// Mutual authentication at the start of a link. Both sides send `hello` at once; each answers the
/// peer's hello with a `proof` over both hellos. The link may carry other messages when `done`.
class handshake {
public:
    /// Starts at `now`. `self` is this host; its nonce is overwritten by one from `random`, which
    /// must be seeded from a source that a peer cannot predict.
    handshake(link_side side, hello self, std::string peer_key, rng& random, time_point now);

    /// The first message to send.
    const hello& greeting() const noexcept { return self_; }

    /// Handles a message from the peer and returns what to send in answer, if anything. Errors end
    /// the link: `unexpected_message`, `version_mismatch`, `wrong_proof`, `reflected`,
    /// `deadline_passed`.
    result<std::optional<message>, wire_error> receive(const message& m, time_point now);

    /// Fails with `deadline_passed` if the handshake is not done in time.
    result<void, wire_error> check(time_point now) const;

    /// When to call `check`.
    time_point deadline() const noexcept { return deadline_; }

    /// True once the peer has proved that it holds the key.
    bool done() const noexcept { return done_; }

    /// The peer's hello. Unproved until `done`; none before it arrived.
    const std::optional<hello>& peer() const noexcept { return peer_; }

private:
    using step = result<std::optional<message>, wire_error>;
    step receive_hello(const hello& peer);
    step receive_proof(const proof& peer);
    sha256_digest proof_of(link_side sender) const;

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
