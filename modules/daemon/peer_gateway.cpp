#include <daemon/peer_gateway.h>

#include <algorithm>
#include <base/log_line.h>
#include <runtime/socket_address.h>

namespace chivewharf::daemon {

namespace {

constexpr std::size_t max_queued_messages = 64; ///< per host without a link
constexpr duration connect_backoff = milliseconds{200};
/// A link on which nothing has arrived for this long is closed, since it may be dead. Pings detect
/// a dead link only while a request is in flight.
constexpr duration idle_limit = seconds{30};
constexpr duration idle_check_interval = seconds{1};

/// Two hosts that dial each other at the same time get two links, which become ready within this
/// time of each other.
constexpr duration simultaneous_dial_window = seconds{2};

} // namespace

peer_gateway::peer_gateway(core_loop& loop, metrics::registry& metrics, std::string address,
                           std::string key, std::uint64_t seed)
    : loop_{loop}, address_{std::move(address)}, key_{std::move(key)}, random_{seed},
      opened_{metrics.counter("chivewharf_peer_links_opened_total")},
      closed_{metrics.counter("chivewharf_peer_links_closed_total")},
      dropped_{metrics.counter("chivewharf_peer_messages_dropped_total")},
      sent_bytes_{metrics.counter("chivewharf_peer_bytes_sent_total")}
{
}

peer_gateway::~peer_gateway()
{
    stop();
}

result<void, runtime::runtime_error>
peer_gateway::start(std::function<void(runtime::runtime_error)> /*failed*/)
{
    const auto port = sockets_.start(address_, [this](link_sockets::connection_ptr accepted) {
        open_link(std::move(accepted), wire::link_side::accepting, {});
    });
    if (!port)
        return unexpected{port.error()};
    port_ = *port;
    idle_timer_.every(idle_check_interval, [this] { close_idle(); });
    log_line{"peers_listening"}.add("address", address_).add("port", int{port_}).write();
    return {};
}

void peer_gateway::stop()
{
    if (!sockets_.started())
        return;
    sockets_.stop();
    idle_timer_.cancel();
    const auto open = links_;
    for (const auto& link : open)
        link->close("this host is stopping");
    peers_.clear();
}

void peer_gateway::finish()
{
    finishing_ = true;
    const auto open = links_;
    for (const auto& link : open)
        link->finish();
}

void peer_gateway::open_link(runtime::gobject_ptr<GSocketConnection> connection,
                             wire::link_side side, const std::string& expected_host)
{
    if (finishing_)
        return;
    const auto& self = loop_.core().self();
    wire::hello greeting;
    greeting.domain = self.domain;
    greeting.host = self.host;
    greeting.incarnation = self.incarnation;
    peer_link::event_handlers handlers{
        [this, expected_host](const link_ptr& link) { link_ready(link, expected_host); },
        [this](const link_ptr& link, wire::message message) {
            const auto& peer = link->peer();
            const dispatch::peer_identity from{peer.domain, peer.host, peer.incarnation};
            loop_.event([&](auto& core, const auto& at) {
                core.peer_message(from, std::move(message), at);
            });
        },
        [this, expected_host](const link_ptr& link, const std::string& cause) {
            link_closed(link, expected_host, cause);
        },
        [this](const link_ptr& link) { return loop_.core().awaits(link->peer().host); }};
    links_.insert(peer_link::open(std::move(connection), side, std::move(greeting), key_, random_,
                                  std::move(handlers)));
}

std::string peer_gateway::address_of(const std::string& host) const
{
    for (const auto& configured : loop_.core().settings().entry_hosts) {
        if (configured.name == host)
            return to_text(configured.peer_address);
    }
    return {};
}

void peer_gateway::connect(const std::string& host, peer_state& peer)
{
    const auto now = boot_clock::now();
    if (peer.connecting || now < peer.next_attempt)
        return;
    peer.next_attempt = now + connect_backoff;
    auto address = runtime::parse_socket_address(address_of(host));
    if (!address)
        return;
    peer.connecting = true;
    sockets_.dial(address->get(), [this, host](link_sockets::connection_ptr connection) {
        connected(host, std::move(connection));
    });
}

void peer_gateway::connected(const std::string& host, link_sockets::connection_ptr connection)
{
    if (connection) {
        open_link(std::move(connection), wire::link_side::connecting, host);
        return;
    }
    auto& peer = peers_[host];
    peer.connecting = false;
    dropped_ += peer.queued.size();
    peer.queued.clear();
}

bool peer_gateway::supersedes(const peer_link& fresh, const peer_link& old) const
{
    if (fresh.ready_since() - old.ready_since() > simultaneous_dial_window ||
        fresh.side() == old.side())
        return true;
    // Both ends keep the link that the host with the smaller name opened.
    const bool own_is_smaller = loop_.core().self().host < fresh.peer().host;
    return own_is_smaller == (fresh.side() == wire::link_side::connecting);
}

void peer_gateway::link_ready(const link_ptr& link, const std::string& expected_host)
{
    const auto& host = link->peer().host;
    if (!expected_host.empty() && host != expected_host) {
        link->close("the peer is " + host + ", expected " + expected_host);
        return;
    }
    auto& peer = peers_[host];
    peer.connecting = false;
    ++opened_;
    if (peer.link && !supersedes(*link, *peer.link)) {
        link->close("another link to the host is in use");
        return;
    }
    const auto old = std::exchange(peer.link, link);
    if (old)
        old->close_after_reading("a newer link to the host is in use");
    log_line{"peer_link_up"}.add("host", host).write();
    for (const auto& message : std::exchange(peer.queued, {}))
        link->send(message);
    // Reported also when the link replaces another, since requests sent on the old one may be lost.
    loop_.event([&host](auto& core, const auto& at) { core.peer_up(host, at); });
}

void peer_gateway::link_closed(const link_ptr& link, const std::string& expected_host,
                               const std::string& cause)
{
    links_.erase(link);
    sent_bytes_ += link->bytes_sent();
    ++closed_;
    if (!expected_host.empty())
        peers_[expected_host].connecting = false;
    if (!link->ready()) {
        log_line{"peer_link_refused"}.add("host", expected_host).add("why", cause).warn();
        return;
    }
    const auto host = link->peer().host;
    const auto found = peers_.find(host);
    if (found == peers_.end() || found->second.link != link)
        return;
    found->second.link.reset();
    log_line{"peer_link_down"}.add("host", host).add("why", cause).write();
    loop_.event([&host](auto& core, const auto& at) { core.peer_down(host, at); });
}

void peer_gateway::send(dispatch::send_peer action)
{
    auto& peer = peers_[action.host];
    if (peer.link) {
        peer.link->send(action.message);
        return;
    }
    connect(action.host, peer);
    if (std::holds_alternative<wire::forward>(action.message))
        return;
    if (peer.queued.size() == max_queued_messages) {
        peer.queued.pop_front();
        ++dropped_;
    }
    peer.queued.push_back(std::move(action.message));
}

void peer_gateway::drop(const std::string& host)
{
    const auto found = peers_.find(host);
    if (found == peers_.end() || !found->second.link)
        return;
    const auto link = found->second.link;
    link->close_after_reading("the host is suspected");
}

void peer_gateway::close_idle()
{
    const auto now = boot_clock::now();
    std::vector<link_ptr> idle;
    for (const auto& link : links_) {
        if (link->ready() && now - link->last_received() > idle_limit &&
            !loop_.core().awaits(link->peer().host))
            idle.push_back(link);
    }
    for (const auto& link : idle) {
        if (!link->deliver_unread())
            link->close("idle");
    }
}

} // namespace chivewharf::daemon
