#pragma once

#include <functional>
#include <memory>
#include <runtime/gobject_ptr.h>
#include <string>
#include <vector>

namespace chivewharf::runtime::test {

/// One end of a TCP connection, which sends and receives raw bytes under control of the test.
class raw_socket {
public:
    /// Connects to a loopback port.
    explicit raw_socket(std::uint16_t port);
    /// Wraps an accepted socket.
    explicit raw_socket(gobject_ptr<GSocket> socket);
    raw_socket(const raw_socket&) = delete;
    raw_socket& operator=(const raw_socket&) = delete;
    ~raw_socket();

    void send(const std::string& text);
    void close(bool with_reset = false);

    /// Number of complete requests received so far. Bodies need a Content-Length.
    std::size_t requests() const;

    std::string received;
    bool ended = false;                          ///< the peer has closed the connection
    std::function<void(raw_socket&)> on_request; ///< called when a request is complete

private:
    static gboolean ready(GSocket* socket, GIOCondition condition, gpointer self);
    void attach_source();
    void flush();

    gobject_ptr<GSocket> socket_;
    GSource* source_ = nullptr;
    std::string output_;
};

/// Server that accepts connections on a loopback port chosen by the kernel.
class raw_server {
public:
    /// \param on_request called when a request is complete
    explicit raw_server(std::function<void(raw_socket&)> on_request);
    ~raw_server();
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

    std::uint16_t port() const noexcept { return port_; }
    std::string url() const { return "http://127.0.0.1:" + std::to_string(port_) + "/"; }

    /// Number of complete requests received on all connections.
    std::size_t requests() const;
    /// Number of bytes received on all connections.
    std::size_t bytes() const;

    std::vector<std::unique_ptr<raw_socket>> connections;

private:
    static gboolean ready(GSocket* socket, GIOCondition condition, gpointer self);

    std::function<void(raw_socket&)> on_request_;
    gobject_ptr<GSocket> listener_;
    GSource* source_ = nullptr;
    std::uint16_t port_ = 0;
};

} // namespace chivewharf::runtime::test
