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

void append_number(std::string& to, std::uint64_t value)
{
    for (unsigned shift = 0; shift < 64; shift += 8)
        to.push_back(static_cast<char>((value >> shift) & 0xffU));
}

void append_text(std::string& to, std::string_view value)
{
    append_number(to, value.size());
    to.append(value);
}

// Fixed form of a hello for the proof. The frame itself would not do: a build with another minor
// version may lay it out differently.
void append_hello(std::string& to, const hello& h)
{
    append_number(to, h.major);
    append_number(to, h.minor);
    append_text(to, h.domain);
    append_text(to, h.host);
    append_number(to, h.incarnation);
    to.append(reinterpret_cast<const char*>(h.nonce.data()), h.nonce.size());
}

nonce make_nonce(rng& random)
{
    nonce made{};
    for (auto& byte : made)
        byte = static_cast<std::uint8_t>(random() >> 56U);
    return made;
}

link_side other(link_side side)
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
        return fail(wire_errc::deadline_passed, "handshake not done within 2 s");
    return {};
}

handshake::step handshake::receive_hello(const hello& peer)
{
    if (peer.major != schema_major) {
        return fail(wire_errc::version_mismatch, "peer speaks version " +
                                                     std::to_string(peer.major) + ", this host " +
                                                     std::to_string(schema_major));
    }
    if (peer.incarnation == self_.incarnation || peer.nonce == self_.nonce)
        return fail(wire_errc::reflected, "peer claims this host's incarnation or nonce");
    peer_ = peer;
    return std::optional<message>{proof{proof_of(side_)}};
}

handshake::step handshake::receive_proof(const proof& peer)
{
    if (equal_constant_time(peer.hmac, proof_of(side_)))
        return fail(wire_errc::reflected, "peer sent back this host's proof");
    if (!equal_constant_time(peer.hmac, proof_of(other(side_))))
        return fail(wire_errc::wrong_proof, "peer does not hold the peer key");
    done_ = true;
    return std::optional<message>{};
}

sha256_digest handshake::proof_of(link_side sender) const
{
    const bool connecting = side_ == link_side::connecting;
    std::string data{proof_labels[static_cast<std::size_t>(sender)]};
    append_hello(data, connecting ? self_ : *peer_);
    append_hello(data, connecting ? *peer_ : self_);
    return hmac_sha256(key_, data);
}

} // namespace chivewharf::wire
