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

/// The links of a host on the platform: accepts them, dials the hosts that the core names, and
/// keeps one for each host.
class link_hub final : public runtime::supervised, public fleet::peer_port {
public:
    struct events {
        std::function<void(const std::string& host, const std::string& domain, std::uint64_t life)>
            linked;
        std::function<void(const std::string& host)> unlinked;
        std::function<void(const std::string& host, const wire::message& message)> received;
        /// Hosts to dial.
        std::function<std::vector<wire::host_record>()> wanted;
    };

    /// \param self greeting of this host
    /// \param address `IP:PORT` to listen on
    link_hub(wire::hello self, std::string address, metrics::registry& metrics, std::uint64_t seed);
    ~link_hub() override;
    link_hub(const link_hub&) = delete;
    link_hub& operator=(const link_hub&) = delete;

    void on(events call) { events_ = std::move(call); }

    /// Addresses to dial besides the hosts that the core knows.
    void set_seeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }

    // runtime::supervised
    std::string name() const override { return "links"; }
    result<void, runtime::runtime_error>
    start(std::function<void(runtime::runtime_error)> failed) override;
    void stop() override;

    // fleet::peer_port
    void send(const std::string& host, const wire::message& message) override;
    void drop(const std::string& host) override;

private:
    using link_ptr = peer_link::link_ptr;

    void dial_all();
    void dial(const std::string& address);
    bool linked_to(const std::string& address) const;
    void open(runtime::gobject_ptr<GSocketConnection> connection, wire::link_side side,
              const std::string& address);
    void ready(const link_ptr& link, const std::string& address);
    void closed(const link_ptr& link, const std::string& address, const std::string& why);
    bool keeps_new(const peer_link& fresh, const peer_link& old) const;

    wire::hello self_;
    std::string address_;
    rng random_;
    std::uint64_t& opened_;
    std::uint64_t& closed_;
    std::uint64_t& dropped_;
    events events_;
    std::vector<std::string> seeds_;
    link_sockets sockets_;
    std::set<link_ptr> links_;
    std::map<std::string, link_ptr> by_host_;
    std::map<std::string, std::string> host_at_; ///< host that answered at a dialled address
    std::set<std::string> dialling_;             ///< addresses
    runtime::timer dial_timer_;
};

} // namespace chivewharf::daemon
