#include <runtime/socket_poller.h>

#include <array>
#include <base/log_line.h>
#include <cerrno>
#include <cstring>
#include <glib-unix.h>
#include <sys/epoll.h>

namespace chivewharf::runtime {

namespace {

constexpr std::size_t max_events_per_dispatch = 64;

} // namespace

socket_poller& socket_poller::instance()
{
    // Never destroyed, because static objects may own connections that are destroyed later.
    static auto* poller = new socket_poller;
    return *poller;
}

socket_poller::socket_poller() : epoll_fd_{epoll_create1(EPOLL_CLOEXEC)}
{
    if (epoll_fd_ < 0)
        log_line{"poller_failed"}.add("why", std::strerror(errno)).error();
    g_unix_fd_add(epoll_fd_, G_IO_IN, &socket_poller::dispatch, this);
}

void socket_poller::control_epoll(int operation, int fd, bool write) const
{
    epoll_event event{};
    event.events = EPOLLIN | (write ? std::uint32_t{EPOLLOUT} : 0U);
    event.data.fd = fd;
    if (epoll_ctl(epoll_fd_, operation, fd, &event) != 0)
        log_line{"poller_failed"}.add("fd", fd).add("why", std::strerror(errno)).error();
}

void socket_poller::add(int fd, ready_function ready)
{
    callbacks_[fd] = std::make_shared<ready_function>(std::move(ready));
    control_epoll(EPOLL_CTL_ADD, fd, false);
}

void socket_poller::want_write(int fd, bool wanted)
{
    control_epoll(EPOLL_CTL_MOD, fd, wanted);
}

void socket_poller::remove(int fd)
{
    callbacks_.erase(fd);
    control_epoll(EPOLL_CTL_DEL, fd, false);
}

gboolean socket_poller::dispatch(gint /*fd*/, GIOCondition /*condition*/, gpointer self)
{
    auto& poller = *static_cast<socket_poller*>(self);
    std::array<epoll_event, max_events_per_dispatch> events{};
    const int count =
        epoll_wait(poller.epoll_fd_, events.data(), static_cast<int>(events.size()), 0);
    for (int i = 0; i < count; ++i) {
        const auto& event = events[static_cast<std::size_t>(i)];
        const auto found = poller.callbacks_.find(event.data.fd);
        if (found == poller.callbacks_.end())
            continue;
        // Copied, because the callback may remove this socket or others.
        const auto ready = found->second;
        (*ready)((event.events & (EPOLLIN | EPOLLERR | EPOLLHUP)) != 0,
                 (event.events & EPOLLOUT) != 0);
    }
    return G_SOURCE_CONTINUE;
}

} // namespace chivewharf::runtime
