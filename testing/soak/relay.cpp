#include "relay.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <runtime/socket_address.h>
#include <sys/socket.h>

namespace chivewharf::soak {

namespace {

using socket_ptr = runtime::gobject_ptr<GSocket>;
constexpr int backlog = 512;
constexpr int turns = 8;

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
        int from = 0;
        std::array<char, 16384> bytes{};
        gssize size = 0;
        gssize sent = 0;
        bool ended = false;
        GSource* source = nullptr;
    };

    std::array<socket_ptr, 2> ends;
    std::array<half, 2> halves;
    bool silent = false;
    bool muted = false;
    bool dead = false;

    pipe(socket_ptr caller, socket_ptr target) : ends{std::move(caller), std::move(target)}
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

    void step(half& one)
    {
        for (int turn = 0; turn < turns && !dead && !muted && !one.ended; ++turn) {
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
        }
        if (!dead && !muted && !one.ended)
            arm(one, ends[one.from].get(), static_cast<GIOCondition>(G_IO_IN | G_IO_OUT));
    }

    void resume()
    {
        for (auto& one : halves) {
            if (!one.ended && !dead)
                step(one);
        }
    }

    void mute(bool on)
    {
        muted = on;
        if (!on) {
            resume();
            return;
        }
        for (auto& one : halves)
            disarm(one);
    }
};

struct relay::route {
    route_name name;
    std::string address;
    std::string target;
    int mutes = 0;
    int cuts = 0;
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
        auto& made =
            *pipes.emplace_back(std::make_unique<pipe>(std::move(caller), std::move(onward)));
        made.muted = mutes > 0;
        made.resume();
    }
};

relay::relay() = default;

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
    one.name = name;
    one.address = address;
    one.target = target;
    listen(one);
}

void relay::mute(const selector& which)
{
    for (auto& one : routes_) {
        if (which(one.name) && one.mutes++ == 0) {
            for (auto& open : one.pipes)
                open->mute(true);
        }
    }
}

void relay::unmute(const selector& which)
{
    for (auto& one : routes_) {
        if (which(one.name) && --one.mutes == 0) {
            for (auto& open : one.pipes)
                open->mute(false);
        }
    }
}

void relay::silence_open(const selector& which)
{
    for (auto& one : routes_) {
        if (which(one.name)) {
            for (auto& open : one.pipes)
                open->silent = true;
        }
    }
}

void relay::cut(const selector& which)
{
    for (auto& one : routes_) {
        if (which(one.name) && one.cuts++ == 0) {
            one.close_listener();
            one.pipes.clear();
        }
    }
}

void relay::join(const selector& which)
{
    for (auto& one : routes_) {
        if (which(one.name) && --one.cuts == 0)
            listen(one);
    }
}

} // namespace chivewharf::soak
