#include <daemon/link_hub.h>

#include <base/log_line.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <runtime/socket_address.h>
#include <utility>

namespace chivewharf::daemon {

namespace {

constexpr int listen_backlog = 256;
constexpr duration dial_interval = milliseconds{150};
constexpr guint dial_timeout_s = 1;
/// The kernel gives a connection up when sent bytes stay without acknowledgement for this long.
constexpr int unacknowledged_limit_ms = 1000;
/// Two hosts that dial each other at once get two links within this time.
constexpr duration simultaneous = seconds{1};
/// The platform gives hosts no secret; its network admits only the system's own hosts.
const std::string shared_key = "chivewharf-platform-links";

} // namespace

struct link_hub::dial_request {
    link_hub* hub;
    std::string address;
    runtime::gobject_ptr<GCancellable> cancellable;
};

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
    auto socket = runtime::open_listener(address_, listen_backlog);
    if (!socket)
        return unexpected{socket.error()};
    listener_ = std::move(*socket);
    cancellable_.reset(g_cancellable_new());
    client_.reset(g_socket_client_new());
    g_socket_client_set_enable_proxy(client_.get(), FALSE);
    g_socket_client_set_timeout(client_.get(), dial_timeout_s);
    accept_source_ = g_socket_create_source(listener_.get(), G_IO_IN, nullptr);
    g_source_set_callback(accept_source_, G_SOURCE_FUNC(&link_hub::accept_ready), this, nullptr);
    g_source_attach(accept_source_, nullptr);
    dial_timer_.every(dial_interval, [this] { dial_all(); });
    dial_all();
    return {};
}

void link_hub::stop()
{
    if (accept_source_ == nullptr)
        return;
    g_source_destroy(accept_source_);
    g_source_unref(accept_source_);
    accept_source_ = nullptr;
    dial_timer_.cancel();
    g_cancellable_cancel(cancellable_.get());
    listener_.reset();
    const auto open_links = links_;
    for (const auto& link : open_links)
        link->close("this host is stopping");
}

gboolean link_hub::accept_ready(GSocket* socket, GIOCondition /*condition*/, gpointer self)
{
    auto* hub = static_cast<link_hub*>(self);
    while (auto* accepted = g_socket_accept(socket, nullptr, nullptr)) {
        const runtime::gobject_ptr<GSocket> owner{accepted};
        g_socket_set_blocking(accepted, FALSE);
        runtime::gobject_ptr<GSocketConnection> connection{
            g_socket_connection_factory_create_connection(accepted)};
        hub->open(std::move(connection), wire::link_side::accepting, {});
    }
    return G_SOURCE_CONTINUE;
}

bool link_hub::linked_to(const std::string& address) const
{
    const auto host = host_at_.find(address);
    return address == address_ || (host != host_at_.end() &&
                                   (host->second == self_.host || by_host_.contains(host->second)));
}

void link_hub::dial_all()
{
    for (const auto& seed : seeds_)
        dial(seed);
    for (const auto& record : events_.wanted()) {
        // The host with the greater name waits for the other one's call, unless that fails.
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
    auto* request = new dial_request{this, address, runtime::retain(cancellable_.get())};
    g_socket_client_connect_async(client_.get(), G_SOCKET_CONNECTABLE(parsed->get()),
                                  cancellable_.get(), &link_hub::dialled, request);
}

void link_hub::dialled(GObject* client, GAsyncResult* result, gpointer data)
{
    const std::unique_ptr<dial_request> request{static_cast<dial_request*>(data)};
    GError* error = nullptr;
    runtime::gobject_ptr<GSocketConnection> connection{
        g_socket_client_connect_finish(G_SOCKET_CLIENT(client), result, &error)};
    const runtime::gerror_ptr owner{error};
    // A cancelled request belongs to a hub that has stopped and may be gone.
    if (g_cancellable_is_cancelled(request->cancellable.get()) != FALSE)
        return;
    auto* hub = request->hub;
    if (!connection) {
        hub->dialling_.erase(request->address);
        return;
    }
    // The client's timeout would stay on the socket and end a silent link.
    g_socket_set_timeout(g_socket_connection_get_socket(connection.get()), 0);
    hub->open(std::move(connection), wire::link_side::connecting, request->address);
}

void link_hub::open(runtime::gobject_ptr<GSocketConnection> connection, wire::link_side side,
                    const std::string& address)
{
    auto* socket = g_socket_connection_get_socket(connection.get());
    g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
    g_socket_set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_limit_ms, nullptr);
    peer_link::observer observe{[this, address](const link_ptr& link) { ready(link, address); },
                                [this](const link_ptr& link, const wire::message& message) {
                                    const auto& host = link->peer().host;
                                    const auto found = by_host_.find(host);
                                    if (found != by_host_.end() && found->second == link)
                                        events_.received(host, message);
                                },
                                [this, address](const link_ptr& link, const std::string& why) {
                                    closed(link, address, why);
                                },
                                {}}; // reports keep links alive
    links_.insert(peer_link::open(std::move(connection), side, self_, shared_key, random_,
                                  std::move(observe)));
}

bool link_hub::keeps_new(const peer_link& fresh, const peer_link& old) const
{
    if (fresh.peer().incarnation != old.peer().incarnation ||
        fresh.ready_since() - old.ready_since() > simultaneous || fresh.side() == old.side())
        return true;
    // Both ends keep the link that the host with the smaller name opened.
    const bool own_is_smaller = self_.host < fresh.peer().host;
    return own_is_smaller == (fresh.side() == wire::link_side::connecting);
}

void link_hub::ready(const link_ptr& link, const std::string& address)
{
    const auto host = link->peer().host;
    if (!address.empty()) {
        dialling_.erase(address);
        host_at_[address] = host;
    }
    if (host == self_.host) {
        link->close("the address is this host's own");
        return;
    }
    ++opened_;
    const auto old = by_host_.find(host);
    if (old != by_host_.end()) {
        if (!keeps_new(*link, *old->second)) {
            link->close("another link to the host is in use");
            return;
        }
        const auto replaced = old->second;
        by_host_.erase(old);
        replaced->close("a newer link to the host is in use");
        events_.unlinked(host);
    }
    by_host_[host] = link;
    events_.linked(host, link->peer().domain, link->peer().incarnation);
}

void link_hub::closed(const link_ptr& link, const std::string& address, const std::string& why)
{
    links_.erase(link);
    dialling_.erase(address);
    ++closed_;
    if (!link->ready()) {
        log_line{"link_refused"}.add("address", address).add("why", why).warn();
        return;
    }
    const auto host = link->peer().host;
    const auto found = by_host_.find(host);
    if (found == by_host_.end() || found->second != link)
        return;
    log_line{"link_closed"}.add("host", host).add("why", why).write();
    by_host_.erase(found);
    events_.unlinked(host);
}

void link_hub::send(const std::string& host, const wire::message& message)
{
    const auto found = by_host_.find(host);
    if (found == by_host_.end()) {
        ++dropped_;
        return;
    }
    // Sending may close the link, which removes the entry.
    const auto link = found->second;
    link->send(message);
}

void link_hub::drop(const std::string& host)
{
    const auto found = by_host_.find(host);
    if (found == by_host_.end())
        return;
    const auto link = found->second;
    link->close("the host is silent");
}

} // namespace chivewharf::daemon
