#pragma once

#include <functional>
#include <glib.h>
#include <map>
#include <memory>

namespace chivewharf::runtime {

/// Watches many long-lived sockets with one source of the default main context. Each pass of the
/// loop visits every source, so a source for each socket would slow all others down.
class socket_poller {
public:
    /// Called from the loop. A socket with an error or at its end counts as readable.
    using ready_function = std::function<void(bool readable, bool writable)>;

    /// The poller of the default main context.
    static socket_poller& instance();

    socket_poller(const socket_poller&) = delete;
    socket_poller& operator=(const socket_poller&) = delete;

    /// Calls the function whenever the non-blocking socket can be read, until `remove`.
    void add(int fd, ready_function ready);

    /// Asks to be called also, or no longer, when the socket can be written.
    void want_write(int fd, bool wanted);

    /// Call it before the socket is closed.
    void remove(int fd);

private:
    socket_poller();
    ~socket_poller() = default;

    static gboolean dispatch(gint fd, GIOCondition condition, gpointer self);
    void control(int operation, int fd, bool write) const;

    int epoll_ = -1;
    std::map<int, std::shared_ptr<ready_function>> watched_;
};

} // namespace chivewharf::runtime
