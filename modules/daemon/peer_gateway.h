#pragma once

#include <base/rng.h>
#include <daemon/core_loop.h>
#include <daemon/link_sockets.h>
#include <daemon/peer_link.h>
#include <deque>
#include <map>
#include <metrics/registry.h>
#include <runtime/supervisor.h>
#include <set>
#include <string>

namespace chivewharf::daemon {

/// Links to the other entry hosts. A link is opened when there is a message for a host. A dead link
/// is detected by pings while a request is in flight, by the kernel when sent bytes are not
/// acknowledged, and when the membership protocol suspects the host.
class peer_gateway final : public runtime::supervised {
public:
    /// \param address `IP:PORT` to listen on
    /// \param key shared key that authenticates peers, from the settings
    /// \param seed must be unpredictable, since handshake nonces are generated from it
    peer_gateway(core_loop& loop, metrics::registry& metrics, std::string address, std::string key,
                 std::uint64_t seed);
    ~peer_gateway() override;

    std::string name() const override { return "peers"; }
    result<void, runtime::runtime_error>
    start(std::function<void(runtime::runtime_error)> failed) override;
    void stop() override;

    std::uint16_t port() const noexcept { return port_; }

    /// Sends the message on the link to its host. If there is no link, one is opened and the
    /// message is queued, except for a forwarded request, which the core sends again when the link
    /// is up.
    void send(dispatch::send_peer action);

    /// Ends all links without a loss of queued messages, and opens no further ones.
    void finish();

    /// True once every link has closed after `finish`.
    bool finished() const noexcept { return finishing_ && links_.empty(); }

    /// Closes the link to the host, so that the next message opens a new one.
    void drop(const std::string& host);

private:
    using link_ptr = peer_link::link_ptr;

    /// Link to one host, or the attempts to open it.
    struct peer_state {
        link_ptr link;
        std::deque<wire::message> queued; ///< until the link is ready
        time_point next_attempt{};
        bool connecting = false;
    };

    void connected(const std::string& host, link_sockets::connection_ptr connection);
    void open_link(runtime::gobject_ptr<GSocketConnection> connection, wire::link_side side,
                   const std::string& expected_host);
    void connect(const std::string& host, peer_state& peer);
    std::string address_of(const std::string& host) const;
    void link_ready(const link_ptr& link, const std::string& expected_host);
    void link_closed(const link_ptr& link, const std::string& expected_host,
                     const std::string& cause);
    /// Whether a new link to a host replaces the one in use.
    bool supersedes(const peer_link& fresh, const peer_link& old) const;
    void close_idle();

    core_loop& loop_;
    std::string address_;
    std::string key_;
    rng random_;
    link_sockets sockets_;
    std::map<std::string, peer_state> peers_;
    std::set<link_ptr> links_;
    runtime::timer idle_timer_;
    std::uint16_t port_ = 0;
    bool finishing_ = false;
    std::uint64_t& opened_;
    std::uint64_t& closed_;
    std::uint64_t& dropped_;
    std::uint64_t& sent_bytes_;
};

} // namespace chivewharf::daemon
