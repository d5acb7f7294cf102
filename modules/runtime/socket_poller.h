#pragma once

#include <functional>
#include <glib.h>
#include <map>
#include <memory>

namespace chivewharf::runtime {

/// Watches many long-lived sockets through one epoll instance, which is a single source of the
/// default main context. Each iteration of the loop visits every source, so one source per socket
/// would slow down the whole loop.
class socket_poller {
public:
    /// Called from the loop. A socket with an error or a hang-up is reported as readable.
    using ready_function = std::function<void(bool readable, bool writable)>;

    /// The poller of the default main context.
    static socket_poller& instance();

    socket_poller(const socket_poller&) = delete;
    socket_poller& operator=(const socket_poller&) = delete;

    /// Calls the function whenever the non-blocking socket is readable, until `remove`.
    void add(int fd, ready_function ready);

    /// Enables or disables calls when the socket is writable.
    void want_write(int fd, bool wanted);

    /// Stops watching the socket. Must be called before the socket is closed.
    void remove(int fd);

private:
    socket_poller();
    ~socket_poller() = default;

    static gboolean dispatch(gint fd, GIOCondition condition, gpointer self);
    void control_epoll(int operation, int fd, bool write) const;

    int epoll_fd_ = -1;
    std::map<int, std::shared_ptr<ready_function>> callbacks_;
};

} // namespace chivewharf::runtime
