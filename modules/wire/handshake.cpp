#include <wire/handshake.h>

#include <base/digest.h>
#include <utility>

namespace chivewharf::wire {

namespace {

constexpr std::array<std::string_view, 2> proof_labels{"chivewharf proof of connecting side",
                                                       "chivewharf proof of accepting side"};

unexpected<wire_error> fail(wire_errc code, std::string text)
{
    return unexpected(wire_error{code, std::move(text)});
}

void append_number(std::string& out, std::uint64_t value)
{
    for (unsigned shift = 0; shift < 64; shift += 8)
        out.push_back(static_cast<char>((value >> shift) & 0xffU));
}

void append_string(std::string& out, std::string_view value)
{
    append_number(out, value.size());
    out.append(value);
}

// Appends a hello in a fixed encoding for the proof. The bytes of the frame cannot be used, because
// a build with another minor version may lay them out differently.
void append_hello(std::string& out, const hello& h)
{
    append_number(out, h.major);
    append_number(out, h.minor);
    append_string(out, h.domain);
    append_string(out, h.host);
    append_number(out, h.incarnation);
    out.append(reinterpret_cast<const char*>(h.nonce.data()), h.nonce.size());
}

nonce make_nonce(rng& random)
{
    nonce made{};
    for (auto& byte : made)
        byte = static_cast<std::uint8_t>(random() >> 56U);
    return made;
}

link_side opposite(link_side side)
{
    return side == link_side::connecting ? link_side::accepting : link_side::connecting;
}

} // namespace

handshake::handshake(link_side side, hello self, std::string peer_key, rng& random, time_point now)
    : side_(side), self_(std::move(self)), key_(std::move(peer_key)),
      deadline_(now + handshake_deadline)
{
    self_.nonce = make_nonce(random);
}

result<std::optional<message>, wire_error> handshake::receive(const message& m, time_point now)
{
    if (auto in_time = check(now); !in_time)
        return unexpected(in_time.error());
    if (const auto* peer = std::get_if<hello>(&m); peer != nullptr && !peer_)
        return receive_hello(*peer);
    if (const auto* peer = std::get_if<proof>(&m); peer != nullptr && peer_ && !done_)
        return receive_proof(*peer);
    return fail(wire_errc::unexpected_message,
                "unexpected " + std::string{name_of(m)} + " during the handshake");
}

result<void, wire_error> handshake::check(time_point now) const
{
    if (!done_ && now >= deadline_)
        return fail(wire_errc::deadline_passed, "handshake not completed within 2 s");
    return {};
}

handshake::reply handshake::receive_hello(const hello& peer)
{
    if (peer.major != schema_major) {
        return fail(wire_errc::version_mismatch, "protocol version mismatch: peer " +
                                                     std::to_string(peer.major) + ", this host " +
                                                     std::to_string(schema_major));
    }
    if (peer.incarnation == self_.incarnation || peer.nonce == self_.nonce)
        return fail(wire_errc::reflected, "peer sent this host's own incarnation or nonce");
    peer_ = peer;
    return std::optional<message>{proof{make_proof(side_)}};
}

handshake::reply handshake::receive_proof(const proof& peer)
{
    if (equal_constant_time(peer.hmac, make_proof(side_)))
        return fail(wire_errc::reflected, "peer sent this host's own proof back");
    if (!equal_constant_time(peer.hmac, make_proof(opposite(side_))))
        return fail(wire_errc::wrong_proof, "proof does not match the peer key");
    done_ = true;
    return std::optional<message>{};
}

sha256_digest handshake::make_proof(link_side sender) const
{
    const bool connecting = side_ == link_side::connecting;
    std::string data{proof_labels[static_cast<std::size_t>(sender)]};
    append_hello(data, connecting ? self_ : *peer_);
    append_hello(data, connecting ? *peer_ : self_);
    return hmac_sha256(key_, data);
}

} // namespace chivewharf::wire
