#include "relay.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <runtime/socket_address.h>
#include <runtime/timer.h>
#include <sys/socket.h>

namespace chivewharf::testing_support {

namespace {

using socket_ptr = runtime::gobject_ptr<GSocket>;
constexpr int listen_backlog = 512;
constexpr int max_chunks_per_event = 8;
constexpr duration added_delay = milliseconds{60};

void reset(socket_ptr& socket)
{
    if (!socket)
        return;
    // A zero linger time makes close() send RST.
    const linger abortive{1, 0};
    setsockopt(g_socket_get_fd(socket.get()), SOL_SOCKET, SO_LINGER, &abortive, sizeof abortive);
    g_socket_close(socket.get(), nullptr);
    socket.reset();
}

bool would_block(GError* error)
{
    const runtime::gerror_ptr owner{error};
    return g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE;
}

} // namespace

/// A relayed connection.
struct relay::connection {
    /// The bytes that flow from one end to the other.
    struct direction {
        connection* owner = nullptr;
        int from = 0; ///< index in `ends` of the sender; 0 is the entry host
        bool muted = false;
        runtime::timer delay;
        std::array<char, 16384> bytes{};
        gssize size = 0;
        gssize sent = 0;
        bool ended = false;
        GSource* watch = nullptr;
    };

    std::array<socket_ptr, 2> ends;
    std::array<direction, 2> directions;
    relay* owner;
    route_name name;
    bool silent = false; ///< bytes are read and discarded
    bool delayed = false;
    bool closed = false;

    connection(relay* the_owner, route_name the_name, socket_ptr caller, socket_ptr target)
        : ends{std::move(caller), std::move(target)}, owner{the_owner}, name{the_name}
    {
        for (int i = 0; i < 2; ++i) {
            directions[i].owner = this;
            directions[i].from = i;
        }
    }

    ~connection() { stop(); }

    void stop()
    {
        closed = true;
        for (auto& flow : directions)
            disarm(flow);
        for (auto& end : ends)
            reset(end);
    }

    static void disarm(direction& flow)
    {
        flow.delay.cancel();
        if (flow.watch == nullptr)
            return;
        g_source_destroy(flow.watch);
        g_source_unref(flow.watch);
        flow.watch = nullptr;
    }

    static void arm(direction& flow, GSocket* socket, GIOCondition condition)
    {
        disarm(flow);
        flow.watch = g_socket_create_source(socket, condition, nullptr);
        g_source_set_callback(flow.watch, G_SOURCE_FUNC(&connection::ready), &flow, nullptr);
        g_source_attach(flow.watch, nullptr);
    }

    static gboolean ready(GSocket* /*socket*/, GIOCondition /*condition*/, gpointer data)
    {
        auto* flow = static_cast<direction*>(data);
        disarm(*flow);
        flow->owner->forward(*flow);
        return G_SOURCE_REMOVE;
    }

    /// Identifies the entry host by its first bytes on a shared route, and starts the delay.
    void received(direction& flow)
    {
        if (flow.from == 0 && name.from == route_name::unknown && owner->identify_) {
            name.from = owner->identify_({flow.bytes.data(), static_cast<std::size_t>(flow.size)});
            update_disturbances();
        }
        if (delayed && !closed)
            flow.delay.once(added_delay, [this, &flow] { forward(flow); });
    }

    /// Applies the active disturbances to the connection.
    void update_disturbances()
    {
        if (closed)
            return;
        if (owner->is_active(disturbance::cut, name)) {
            stop();
            return;
        }
        const bool both = owner->is_active(disturbance::mute, name);
        const std::array muted{both || owner->is_active(disturbance::mute_forward, name),
                               both || owner->is_active(disturbance::mute_backward, name)};
        delayed = owner->is_active(disturbance::delay, name);
        for (auto& flow : directions) {
            const bool changed = std::exchange(flow.muted, muted[flow.from]) != muted[flow.from];
            if (!changed)
                continue;
            if (flow.muted)
                disarm(flow);
            else if (!flow.ended && !closed)
                forward(flow);
        }
    }

    void forward(direction& flow)
    {
        for (int chunk = 0; chunk < max_chunks_per_event && !closed && !flow.muted && !flow.ended;
             ++chunk) {
            if (flow.delay.active())
                return;
            GError* error = nullptr;
            auto* from = ends[flow.from].get();
            auto* to = ends[1 - flow.from].get();
            if (flow.sent < flow.size && !silent) {
                const auto done =
                    g_socket_send(to, flow.bytes.data() + flow.sent,
                                  static_cast<gsize>(flow.size - flow.sent), nullptr, &error);
                if (done < 0) {
                    would_block(error) ? arm(flow, to, G_IO_OUT) : stop();
                    return;
                }
                flow.sent += done;
                continue;
            }
            flow.sent = 0;
            flow.size =
                g_socket_receive(from, flow.bytes.data(), flow.bytes.size(), nullptr, &error);
            if (flow.size < 0) {
                flow.size = 0;
                if (would_block(error))
                    arm(flow, from, G_IO_IN);
                else if (silent)
                    flow.ended = true;
                else
                    stop();
                return;
            }
            if (flow.size == 0) {
                flow.ended = true;
                if (!silent)
                    g_socket_shutdown(to, FALSE, TRUE, nullptr);
                if (directions[0].ended && directions[1].ended)
                    closed = true;
                return;
            }
            received(flow);
        }
        if (!closed && !flow.muted && !flow.ended && !flow.delay.active())
            arm(flow, ends[flow.from].get(), static_cast<GIOCondition>(G_IO_IN | G_IO_OUT));
    }

    void start()
    {
        for (auto& flow : directions) {
            if (!flow.ended && !closed)
                forward(flow);
        }
    }
};

struct relay::route {
    relay* owner;
    route_name name;
    std::string address;
    std::string target;
    socket_ptr listener;
    GSource* watch = nullptr;
    std::list<std::unique_ptr<connection>> connections;

    void close_listener()
    {
        if (watch != nullptr) {
            g_source_destroy(watch);
            g_source_unref(watch);
            watch = nullptr;
        }
        listener.reset();
    }

    static gboolean accept_ready(GSocket* socket, GIOCondition /*condition*/, gpointer data)
    {
        auto* self = static_cast<route*>(data);
        while (auto* accepted = g_socket_accept(socket, nullptr, nullptr))
            self->open(socket_ptr{accepted});
        return G_SOURCE_CONTINUE;
    }

    void open(socket_ptr caller)
    {
        connections.remove_if([](const auto& one) { return one->closed; });
        const auto target_address = runtime::parse_socket_address(target);
        socket_ptr target_socket{g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                              G_SOCKET_PROTOCOL_TCP, nullptr)};
        g_socket_set_timeout(target_socket.get(), 1);
        if (g_socket_connect(target_socket.get(), target_address->get(), nullptr, nullptr) ==
            FALSE) {
            reset(caller);
            return;
        }
        g_socket_set_timeout(target_socket.get(), 0);
        for (auto* socket : {caller.get(), target_socket.get()}) {
            g_socket_set_blocking(socket, FALSE);
            g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
        }
        auto& opened = *connections.emplace_back(
            std::make_unique<connection>(owner, name, std::move(caller), std::move(target_socket)));
        opened.update_disturbances();
        opened.start();
    }
};

relay::relay(identifier identify) : identify_{std::move(identify)} {}

relay::~relay()
{
    for (auto& path : routes_)
        path.close_listener();
}

void relay::listen(route& target)
{
    auto socket = runtime::open_listener(target.address, listen_backlog);
    if (!socket) {
        std::cerr << socket.error().message << '\n';
        std::exit(1);
    }
    target.listener = std::move(*socket);
    target.watch = g_socket_create_source(target.listener.get(), G_IO_IN, nullptr);
    g_source_set_callback(target.watch, G_SOURCE_FUNC(&route::accept_ready), &target, nullptr);
    g_source_attach(target.watch, nullptr);
}

void relay::add(route_name name, const std::string& address, const std::string& target)
{
    auto& added = routes_.emplace_back();
    added.owner = this;
    added.name = name;
    added.address = address;
    added.target = target;
    listen(added);
}

bool relay::is_active(disturbance kind, const route_name& name) const
{
    return std::any_of(active_.begin(), active_.end(), [&](const auto& entry) {
        return entry.second.kind == kind && entry.second.which(name);
    });
}

void relay::apply_disturbances()
{
    for (auto& path : routes_) {
        // A route that several hosts share keeps listening; its connections are reset one at a
        // time.
        const bool refused =
            path.name.from != route_name::unknown && is_active(disturbance::cut, path.name);
        if (refused)
            path.close_listener();
        else if (path.watch == nullptr)
            listen(path);
        for (auto& open : path.connections)
            open->update_disturbances();
    }
}

int relay::begin(disturbance kind, selector which)
{
    active_.emplace(++last_number_, active_disturbance{kind, std::move(which)});
    apply_disturbances();
    return last_number_;
}

void relay::end(int number)
{
    if (active_.erase(number) > 0)
        apply_disturbances();
}

void relay::silence_open(const selector& which)
{
    for (auto& path : routes_) {
        for (auto& open : path.connections) {
            if (which(open->name))
                open->silent = true;
        }
    }
}

void relay::reset_open(const selector& which)
{
    for (auto& path : routes_) {
        for (auto& open : path.connections) {
            if (which(open->name))
                open->stop();
        }
    }
}

} // namespace chivewharf::testing_support
