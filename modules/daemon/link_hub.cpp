#include <daemon/link_hub.h>

#include <base/log_line.h>
#include <runtime/socket_address.h>
#include <utility>

namespace chivewharf::daemon {

namespace {

constexpr duration dial_interval = milliseconds{150};
/// Two hosts that dial each other at the same time get two links, which become ready within this
/// time of each other.
constexpr duration simultaneous_dial_window = seconds{1};
/// Not a secret, since the platform provides hosts with none. Only this system's own hosts can
/// reach the peer port on its network.
const std::string shared_key = "chivewharf-platform-links";

} // namespace

link_hub::link_hub(wire::hello self, std::string address, metrics::registry& metrics,
                   std::uint64_t seed)
    : self_{std::move(self)}, address_{std::move(address)}, random_{seed},
      opened_{metrics.counter("chivewharf_peer_links_opened_total")},
      closed_{metrics.counter("chivewharf_peer_links_closed_total")},
      dropped_{metrics.counter("chivewharf_peer_messages_dropped_total")}
{
}

link_hub::~link_hub()
{
    stop();
}

result<void, runtime::runtime_error>
link_hub::start(std::function<void(runtime::runtime_error)> /*failed*/)
{
    const auto port = sockets_.start(address_, [this](link_sockets::connection_ptr accepted) {
        open(std::move(accepted), wire::link_side::accepting, {});
    });
    if (!port)
        return unexpected{port.error()};
    dial_timer_.every(dial_interval, [this] { dial_all(); });
    dial_all();
    return {};
}

void link_hub::stop()
{
    if (!sockets_.started())
        return;
    sockets_.stop();
    dial_timer_.cancel();
    const auto open_links = links_;
    for (const auto& link : open_links)
        link->close("this host is stopping");
}

void link_hub::finish()
{
    finishing_ = true;
    dial_timer_.cancel();
    // Orders that have arrived get a reply before the link ends.
    deliver_unread();
    const auto open_links = links_;
    for (const auto& link : open_links)
        link->finish();
}

void link_hub::deliver_unread()
{
    const auto open_links = links_;
    for (const auto& link : open_links)
        link->deliver_unread();
}

bool link_hub::linked_to(const std::string& address) const
{
    const auto host = host_by_address_.find(address);
    return address == address_ ||
           (host != host_by_address_.end() &&
            (host->second == self_.host || links_by_host_.contains(host->second)));
}

void link_hub::dial_all()
{
    for (const auto& seed : seeds_)
        dial(seed);
    for (const auto& record : handlers_.hosts_to_dial()) {
        // Normally the host with the smaller name dials. The other host dials in one of five rounds
        // on average, in case the first cannot connect.
        if (self_.host < record.host || uniform(random_) < 0.2)
            dial(record.address);
    }
}

void link_hub::dial(const std::string& address)
{
    if (dialling_.contains(address) || linked_to(address))
        return;
    auto parsed = runtime::parse_socket_address(address);
    if (!parsed) {
        log_line{"address_unusable"}.add("address", address).warn();
        return;
    }
    dialling_.insert(address);
    sockets_.dial(parsed->get(), [this, address](link_sockets::connection_ptr connection) {
        if (connection)
            open(std::move(connection), wire::link_side::connecting, address);
        else
            dialling_.erase(address);
    });
}

void link_hub::open(runtime::gobject_ptr<GSocketConnection> connection, wire::link_side side,
                    const std::string& address)
{
    if (finishing_)
        return;
    peer_link::event_handlers handlers{
        [this, address](const link_ptr& link) { link_ready(link, address); },
        [this](const link_ptr& link, const wire::message& message) {
            const auto& host = link->peer().host;
            const auto found = links_by_host_.find(host);
            if (found != links_by_host_.end() && found->second == link)
                handlers_.received(host, message);
        },
        [this, address](const link_ptr& link, const std::string& cause) {
            link_closed(link, address, cause);
        },
        {}}; // no pings: the hosts' periodic reports show that a link works
    links_.insert(peer_link::open(std::move(connection), side, self_, shared_key, random_,
                                  std::move(handlers)));
}

bool link_hub::supersedes(const peer_link& fresh, const peer_link& old) const
{
    if (fresh.peer().incarnation != old.peer().incarnation ||
        fresh.ready_since() - old.ready_since() > simultaneous_dial_window ||
        fresh.side() == old.side())
        return true;
    // Both ends keep the link that the host with the smaller name opened.
    const bool own_is_smaller = self_.host < fresh.peer().host;
    return own_is_smaller == (fresh.side() == wire::link_side::connecting);
}

void link_hub::link_ready(const link_ptr& link, const std::string& address)
{
    const auto host = link->peer().host;
    if (!address.empty()) {
        dialling_.erase(address);
        host_by_address_[address] = host;
    }
    if (host == self_.host) {
        link->close("the address is this host's own");
        return;
    }
    ++opened_;
    const auto old = links_by_host_.find(host);
    if (old != links_by_host_.end()) {
        if (!supersedes(*link, *old->second)) {
            link->close("another link to the host is in use");
            return;
        }
        // Only messages of the link in use are passed on. Reading may close the link, which reports
        // it as unlinked.
        const auto replaced = old->second;
        replaced->deliver_unread();
        if (links_by_host_.erase(host) > 0) {
            replaced->close("a newer link to the host is in use");
            handlers_.unlinked(host);
        }
    }
    links_by_host_[host] = link;
    handlers_.linked(host, link->peer().domain, link->peer().incarnation);
}

void link_hub::link_closed(const link_ptr& link, const std::string& address,
                           const std::string& cause)
{
    links_.erase(link);
    dialling_.erase(address);
    ++closed_;
    if (!link->ready()) {
        log_line{"link_refused"}.add("address", address).add("why", cause).warn();
        return;
    }
    const auto host = link->peer().host;
    const auto found = links_by_host_.find(host);
    if (found == links_by_host_.end() || found->second != link)
        return;
    log_line{"link_closed"}.add("host", host).add("why", cause).write();
    links_by_host_.erase(found);
    handlers_.unlinked(host);
}

void link_hub::send(const std::string& host, const wire::message& message)
{
    const auto found = links_by_host_.find(host);
    if (found == links_by_host_.end()) {
        ++dropped_;
        return;
    }
    // Sending may close the link, which removes the entry.
    const auto link = found->second;
    link->send(message);
}

void link_hub::drop(const std::string& host)
{
    const auto found = links_by_host_.find(host);
    if (found == links_by_host_.end())
        return;
    const auto link = found->second;
    link->close_after_reading("the host is silent");
}

} // namespace chivewharf::daemon
