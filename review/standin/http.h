// Minimal HTTP/1.1 server and client for the stand-ins: blocking sockets, one thread a connection.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <string>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <unistd.h>

namespace review {

struct request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;

    std::string parameter(const std::string& name) const
    {
        const auto found = query.find(name);
        return found == query.end() ? std::string{} : found->second;
    }
};

struct response {
    int status = 200;
    std::string body = "{}";
    std::string type = "application/json";
    bool drop = false; ///< close the connection without an answer
};

inline std::string lower(std::string text)
{
    for (auto& c : text)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return text;
}

inline std::string decode_percent(const std::string& text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        }
        else
            out += text[i];
    }
    return out;
}

/// Reads a head and a body with Content-Length. `buffer` keeps bytes of the next message.
inline bool read_message(int fd, std::string& buffer, std::string& head, std::string& body)
{
    char chunk[16384];
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        const auto size = recv(fd, chunk, sizeof chunk, 0);
        if (size <= 0)
            return false;
        buffer.append(chunk, static_cast<std::size_t>(size));
    }
    head = buffer.substr(0, end);
    buffer.erase(0, end + 4);
    std::size_t length = 0;
    const auto field = lower(head).find("\r\ncontent-length:");
    if (field != std::string::npos)
        length = std::stoul(head.substr(field + 17));
    while (buffer.size() < length) {
        const auto size = recv(fd, chunk, sizeof chunk, 0);
        if (size <= 0)
            return false;
        buffer.append(chunk, static_cast<std::size_t>(size));
    }
    body = buffer.substr(0, length);
    buffer.erase(0, length);
    return true;
}

inline bool write_all(int fd, const std::string& text)
{
    std::size_t done = 0;
    while (done < text.size()) {
        const auto size = send(fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        done += static_cast<std::size_t>(size);
    }
    return true;
}

inline sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// A free port below the range from which the kernel takes the ports of outgoing connections, so
/// that no connection can take it before its owner listens on it.
inline int free_port()
{
    constexpr int first = 12000;
    constexpr int count = 18000;
    static int next = getpid() * 37 % count;
    for (int tries = 0; tries < count; ++tries) {
        const int port = first + next;
        next = (next + 1) % count;
        const int fd = socket(AF_INET, SOCK_STREAM, 0);
        auto address = loopback(port);
        const bool free = bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
        close(fd);
        if (free)
            return port;
    }
    return 0;
}

class server {
public:
    using handler = std::function<response(const request&)>;

    explicit server(handler handle) : handle_{std::move(handle)} {}

    /// Listens on the port; 0 picks a free one.
    bool open(int port)
    {
        if (port == 0)
            port = free_port();
        listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto address = loopback(port);
        socklen_t size = sizeof address;
        if (bind(listener_, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
            listen(listener_, 256) != 0 ||
            getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size) != 0)
            return false;
        port_ = ntohs(address.sin_port);
        up_ = true;
        std::thread{[this, fd = listener_] { accept_all(fd); }}.detach();
        return true;
    }

    /// Ends like a killed process: resets every connection and the listener.
    void crash()
    {
        up_ = false;
        shutdown(listener_, SHUT_RDWR);
        close(listener_);
        const std::lock_guard lock{mutex_};
        for (const int fd : open_) {
            const linger now{1, 0};
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
            shutdown(fd, SHUT_RDWR);
        }
    }

    int port() const { return port_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
    void accept_all(int listener)
    {
        while (up_) {
            const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                return;
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            {
                const std::lock_guard lock{mutex_};
                open_.insert(fd);
            }
            std::thread{[this, fd] { serve(fd); }}.detach();
        }
    }

    void serve(int fd)
    {
        std::string buffer;
        std::string head;
        request one;
        while (read_message(fd, buffer, head, one.body)) {
            parse_head(head, one);
            const auto answer = handle_(one);
            if (answer.drop)
                break;
            if (!write_all(fd, "HTTP/1.1 " + std::to_string(answer.status) +
                                   " X\r\nContent-Type: " + answer.type + "\r\nContent-Length: " +
                                   std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body))
                break;
        }
        const std::lock_guard lock{mutex_};
        open_.erase(fd);
        close(fd);
    }

    static void parse_head(const std::string& head, request& one)
    {
        one.query.clear();
        one.headers.clear();
        auto line_end = head.find("\r\n");
        const auto line = head.substr(0, line_end);
        const auto first = line.find(' ');
        const auto second = line.find(' ', first + 1);
        one.method = line.substr(0, first);
        auto target = line.substr(first + 1, second - first - 1);
        const auto mark = target.find('?');
        one.path = target.substr(0, mark);
        if (mark != std::string::npos) {
            auto rest = target.substr(mark + 1) + '&';
            for (std::size_t at = 0; at < rest.size();) {
                const auto end = rest.find('&', at);
                const auto pair = rest.substr(at, end - at);
                const auto equals = pair.find('=');
                if (equals != std::string::npos)
                    one.query[pair.substr(0, equals)] = decode_percent(pair.substr(equals + 1));
                at = end + 1;
            }
        }
        while (line_end != std::string::npos) {
            const auto begin = line_end + 2;
            line_end = head.find("\r\n", begin);
            const auto field = head.substr(begin, line_end - begin);
            const auto colon = field.find(':');
            if (colon != std::string::npos)
                one.headers[lower(field.substr(0, colon))] =
                    field.substr(field.find_first_not_of(' ', colon + 1));
        }
    }

    handler handle_;
    std::mutex mutex_;
    std::set<int> open_;
    int listener_ = -1;
    int port_ = 0;
    std::atomic<bool> up_{false};
};

struct call_result {
    int status = 0; ///< 0: no answer
    std::string body;
};

/// One call on a connection of its own. `fd_out`, if given, receives the descriptor while the call
/// is in progress, so that another thread can break the connection.
inline call_result call(int port, const std::string& method, const std::string& target,
                        const std::string& headers, const std::string& body, int timeout_ms)
{
    call_result result;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit{timeout_ms / 1000, (timeout_ms % 1000) * 1000};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    auto address = loopback(port);
    if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0) {
        std::string buffer;
        std::string head;
        if (write_all(fd, method + ' ' + target + " HTTP/1.1\r\n" + headers + "Content-Length: " +
                              std::to_string(body.size()) + "\r\n\r\n" + body) &&
            read_message(fd, buffer, head, result.body) && head.size() > 12)
            result.status = std::stoi(head.substr(9, 3));
    }
    close(fd);
    return result;
}

} // namespace review
