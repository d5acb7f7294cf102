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
constexpr int backlog = 512;
constexpr int turns = 8;
constexpr duration added_delay = milliseconds{60};

void reset(socket_ptr& socket)
{
    if (!socket)
        return;
    // A zero linger time makes close() send RST.
    const linger hard{1, 0};
    setsockopt(g_socket_get_fd(socket.get()), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
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
struct relay::pipe {
    struct half {
        pipe* owner = nullptr;
        int from = 0; ///< 0 is the side of the entry host
        bool muted = false;
        runtime::timer delay;
        std::array<char, 16384> bytes{};
        gssize size = 0;
        gssize sent = 0;
        bool ended = false;
        GSource* source = nullptr;
    };

    std::array<socket_ptr, 2> ends;
    std::array<half, 2> halves;
    relay* owner;
    route_name name;
    bool silent = false;
    bool delayed = false;
    bool dead = false;

    pipe(relay* the_owner, route_name the_name, socket_ptr caller, socket_ptr target)
        : ends{std::move(caller), std::move(target)}, owner{the_owner}, name{the_name}
    {
        for (int i = 0; i < 2; ++i) {
            halves[i].owner = this;
            halves[i].from = i;
        }
    }

    ~pipe() { stop(); }

    void stop()
    {
        dead = true;
        for (auto& one : halves)
            disarm(one);
        for (auto& end : ends)
            reset(end);
    }

    static void disarm(half& one)
    {
        one.delay.cancel();
        if (one.source == nullptr)
            return;
        g_source_destroy(one.source);
        g_source_unref(one.source);
        one.source = nullptr;
    }

    static void arm(half& one, GSocket* socket, GIOCondition condition)
    {
        disarm(one);
        one.source = g_socket_create_source(socket, condition, nullptr);
        g_source_set_callback(one.source, G_SOURCE_FUNC(&pipe::ready), &one, nullptr);
        g_source_attach(one.source, nullptr);
    }

    static gboolean ready(GSocket* /*socket*/, GIOCondition /*condition*/, gpointer data)
    {
        auto* one = static_cast<half*>(data);
        disarm(*one);
        one->owner->step(*one);
        return G_SOURCE_REMOVE;
    }

    /// Takes the first bytes of the entry host into account.
    void received(half& one)
    {
        if (one.from == 0 && name.from == route_name::unknown && owner->identify_) {
            name.from = owner->identify_({one.bytes.data(), static_cast<std::size_t>(one.size)});
            disturb();
        }
        if (delayed && !dead)
            one.delay.once(added_delay, [this, &one] { step(one); });
    }

    /// Brings the connection in line with what is being disturbed.
    void disturb()
    {
        if (dead)
            return;
        if (owner->is(disturbance::cut, name)) {
            stop();
            return;
        }
        const bool both = owner->is(disturbance::mute, name);
        const std::array now{both || owner->is(disturbance::mute_forward, name),
                             both || owner->is(disturbance::mute_backward, name)};
        delayed = owner->is(disturbance::delay, name);
        for (auto& one : halves) {
            const bool changed = std::exchange(one.muted, now[one.from]) != now[one.from];
            if (!changed)
                continue;
            if (one.muted)
                disarm(one);
            else if (!one.ended && !dead)
                step(one);
        }
    }

    void step(half& one)
    {
        for (int turn = 0; turn < turns && !dead && !one.muted && !one.ended; ++turn) {
            if (one.delay.active())
                return;
            GError* error = nullptr;
            auto* from = ends[one.from].get();
            auto* to = ends[1 - one.from].get();
            if (one.sent < one.size && !silent) {
                const auto done =
                    g_socket_send(to, one.bytes.data() + one.sent,
                                  static_cast<gsize>(one.size - one.sent), nullptr, &error);
                if (done < 0) {
                    would_block(error) ? arm(one, to, G_IO_OUT) : stop();
                    return;
                }
                one.sent += done;
                continue;
            }
            one.sent = 0;
            one.size = g_socket_receive(from, one.bytes.data(), one.bytes.size(), nullptr, &error);
            if (one.size < 0) {
                one.size = 0;
                if (would_block(error))
                    arm(one, from, G_IO_IN);
                else if (silent)
                    one.ended = true;
                else
                    stop();
                return;
            }
            if (one.size == 0) {
                one.ended = true;
                if (!silent)
                    g_socket_shutdown(to, FALSE, TRUE, nullptr);
                if (halves[0].ended && halves[1].ended)
                    dead = true;
                return;
            }
            received(one);
        }
        if (!dead && !one.muted && !one.ended && !one.delay.active())
            arm(one, ends[one.from].get(), static_cast<GIOCondition>(G_IO_IN | G_IO_OUT));
    }

    void resume()
    {
        for (auto& one : halves) {
            if (!one.ended && !dead)
                step(one);
        }
    }
};

struct relay::route {
    relay* owner;
    route_name name;
    std::string address;
    std::string target;
    socket_ptr listener;
    GSource* source = nullptr;
    std::list<std::unique_ptr<pipe>> pipes;

    void close_listener()
    {
        if (source != nullptr) {
            g_source_destroy(source);
            g_source_unref(source);
            source = nullptr;
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
        pipes.remove_if([](const auto& one) { return one->dead; });
        const auto onward_address = runtime::parse_socket_address(target);
        socket_ptr onward{g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                       G_SOCKET_PROTOCOL_TCP, nullptr)};
        g_socket_set_timeout(onward.get(), 1);
        if (g_socket_connect(onward.get(), onward_address->get(), nullptr, nullptr) == FALSE) {
            reset(caller);
            return;
        }
        g_socket_set_timeout(onward.get(), 0);
        for (auto* socket : {caller.get(), onward.get()}) {
            g_socket_set_blocking(socket, FALSE);
            g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
        }
        auto& made = *pipes.emplace_back(
            std::make_unique<pipe>(owner, name, std::move(caller), std::move(onward)));
        made.disturb();
        made.resume();
    }
};

relay::relay(identifier identify) : identify_{std::move(identify)} {}

relay::~relay()
{
    for (auto& one : routes_)
        one.close_listener();
}

void relay::listen(route& one)
{
    auto socket = runtime::open_listener(one.address, backlog);
    if (!socket) {
        std::cerr << socket.error().message << '\n';
        std::exit(1);
    }
    one.listener = std::move(*socket);
    one.source = g_socket_create_source(one.listener.get(), G_IO_IN, nullptr);
    g_source_set_callback(one.source, G_SOURCE_FUNC(&route::accept_ready), &one, nullptr);
    g_source_attach(one.source, nullptr);
}

void relay::add(route_name name, const std::string& address, const std::string& target)
{
    auto& one = routes_.emplace_back();
    one.owner = this;
    one.name = name;
    one.address = address;
    one.target = target;
    listen(one);
}

bool relay::is(disturbance kind, const route_name& name) const
{
    return std::any_of(active_.begin(), active_.end(), [&](const auto& one) {
        return one.second.kind == kind && one.second.which(name);
    });
}

void relay::apply()
{
    for (auto& one : routes_) {
        // A route that several hosts share stays open; its connections are cut one by one.
        const bool refused = one.name.from != route_name::unknown && is(disturbance::cut, one.name);
        if (refused)
            one.close_listener();
        else if (one.source == nullptr)
            listen(one);
        for (auto& open : one.pipes)
            open->disturb();
    }
}

int relay::begin(disturbance kind, selector which)
{
    active_.emplace(++last_, active{kind, std::move(which)});
    apply();
    return last_;
}

void relay::end(int number)
{
    if (active_.erase(number) > 0)
        apply();
}

void relay::silence_open(const selector& which)
{
    for (auto& one : routes_) {
        for (auto& open : one.pipes) {
            if (which(open->name))
                open->silent = true;
        }
    }
}

void relay::reset_open(const selector& which)
{
    for (auto& one : routes_) {
        for (auto& open : one.pipes) {
            if (which(open->name))
                open->stop();
        }
    }
}

} // namespace chivewharf::testing_support
