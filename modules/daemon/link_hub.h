#pragma once

#include <daemon/link_sockets.h>
#include <daemon/peer_link.h>
#include <fleet/ports.h>
#include <functional>
#include <map>
#include <metrics/registry.h>
#include <runtime/supervisor.h>
#include <set>
#include <string>
#include <vector>

namespace chivewharf::daemon {

/// Links of a host on the platform: accepts them, dials the hosts that the core names, and keeps
/// one link to each host.
class link_hub final : public runtime::supervised, public fleet::peer_port {
public:
    struct event_handlers {
        std::function<void(const std::string& host, const std::string& domain,
                           std::uint64_t incarnation)>
            linked;
        std::function<void(const std::string& host)> unlinked;
        std::function<void(const std::string& host, const wire::message& message)> received;
        /// Returns the hosts to dial.
        std::function<std::vector<wire::host_record>()> hosts_to_dial;
    };

    /// \param self handshake message that identifies this host
    /// \param address `IP:PORT` to listen on
    link_hub(wire::hello self, std::string address, metrics::registry& metrics, std::uint64_t seed);
    ~link_hub() override;
    link_hub(const link_hub&) = delete;
    link_hub& operator=(const link_hub&) = delete;

    void set_event_handlers(event_handlers handlers) { handlers_ = std::move(handlers); }

    /// Sets addresses that are dialled in addition to the hosts that the core names.
    void set_seeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }

    /// Delivers the messages that have arrived, including those in the sockets.
    void deliver_unread();

    /// Ends all links without a loss of queued messages, and opens no further ones.
    void finish();

    /// True once every link has closed after `finish`.
    bool finished() const noexcept { return finishing_ && links_.empty(); }

    // runtime::supervised
    std::string name() const override { return "links"; }
    result<void, runtime::runtime_error>
    start(std::function<void(runtime::runtime_error)> failed) override;
    void stop() override;

    // fleet::peer_port
    void send(const std::string& host, const wire::message& message) override;
    /// Delivers the messages that have arrived on the link, then closes it.
    void drop(const std::string& host) override;

private:
    using link_ptr = peer_link::link_ptr;

    void dial_all();
    void dial(const std::string& address);
    bool linked_to(const std::string& address) const;
    void open(runtime::gobject_ptr<GSocketConnection> connection, wire::link_side side,
              const std::string& address);
    void link_ready(const link_ptr& link, const std::string& address);
    void link_closed(const link_ptr& link, const std::string& address, const std::string& cause);
    /// Whether a new link to a host replaces the one in use.
    bool supersedes(const peer_link& fresh, const peer_link& old) const;

    wire::hello self_;
    std::string address_;
    rng random_;
    std::uint64_t& opened_;
    std::uint64_t& closed_;
    std::uint64_t& dropped_;
    event_handlers handlers_;
    std::vector<std::string> seeds_;
    link_sockets sockets_;
    std::set<link_ptr> links_;
    std::map<std::string, link_ptr> links_by_host_;
    std::map<std::string, std::string>
        host_by_address_;            ///< host that answered at a dialled address
    std::set<std::string> dialling_; ///< addresses with a connection attempt in progress
    runtime::timer dial_timer_;
    bool finishing_ = false;
};

} // namespace chivewharf::daemon
