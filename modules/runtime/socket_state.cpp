#include <runtime/socket_state.h>

#include <cerrno>

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace chivewharf::runtime {

namespace {

std::size_t queued_bytes(GSocket* socket, unsigned long queue)
{
    int bytes = 0;
    const bool known = ioctl(g_socket_get_fd(socket), queue, &bytes) == 0 && bytes > 0;
    return known ? static_cast<std::size_t>(bytes) : 0;
}

} // namespace

bool closed_by_peer(GSocket* socket)
{
    const int fd = g_socket_get_fd(socket);
    tcp_info info{};
    socklen_t size = sizeof info;
    if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
        (info.tcpi_state == TCP_CLOSE_WAIT || info.tcpi_state == TCP_CLOSE))
        return true;
    // Without TCP_INFO, the end of the stream is visible only if no unread data precedes it.
    char next = 0;
    const auto received = recv(fd, &next, 1, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 ||
           (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

std::size_t unread_bytes(GSocket* socket)
{
    return queued_bytes(socket, FIONREAD);
}

std::size_t unacknowledged_bytes(GSocket* socket)
{
    return queued_bytes(socket, SIOCOUTQ);
}

} // namespace chivewharf::runtime
