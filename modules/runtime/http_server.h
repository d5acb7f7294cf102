#pragma once

#include <base/reason.h>
#include <base/result.h>
#include <base/time.h>
#include <functional>
#include <libsoup/soup.h>
#include <memory>
#include <runtime/connection_end.h>
#include <runtime/gobject_ptr.h>
#include <runtime/http_exchange.h>
#include <runtime/request_budget.h>
#include <runtime/runtime_error.h>
#include <runtime/socket_address.h>
#include <runtime/timer.h>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace chivewharf::runtime {

/// Limits that an `http_server` enforces before a handler sees a request.
struct http_limits {
    std::size_t max_body_bytes = 1U << 20U;
    std::size_t max_connections = 2000;
    /// Maximum time from the first byte of a request to its last.
    duration request_timeout = seconds{5};
    scan_limits head{};
    /// Maximum time without a request, and maximum time in which a caller takes a response; 0 for
    /// no limit.
    duration idle_timeout{};

    /// Limits of an address that only answers probes and metrics, whose requests are small.
    static http_limits for_probes();
};

/// Name of the counters of requests and connections that exceeded a limit, by reason.
inline constexpr const char* request_limits_metric = "chivewharf_request_limits_total";

/// PEM files of the certificate and the private key. Empty paths disable TLS.
struct tls_files {
    std::string certificate;
    std::string key;
};

struct server_connection;

/// HTTP/1.1 server based on libsoup. It accepts connections itself, because soup_server_listen()
/// uses a backlog of 10 and limits neither the number of connections nor the time that a request
/// takes to arrive.
class http_server {
public:
    using handler = std::function<void(const std::shared_ptr<http_exchange>&)>;
    /// Returns the response to a request or a connection that exceeds a limit. Called once for
    /// each; the response to an idle connection is not sent.
    using refusal = std::function<http_response(reason)>;

    /// \param budget bytes that all requests and connections may take; 0 for no limit
    http_server(http_limits limits, handler handle, refusal refuse, std::size_t budget = 0);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;
    ~http_server();

    /// Listens on `IP:PORT`. With port 0 the kernel chooses a free port.
    /// \return the port, or bind_failed, invalid_address or tls_setup_failed
    result<std::uint16_t, runtime_error> listen(std::string_view address,
                                                const tls_files& tls = {});

    /// Replaces the limits. A shorter idle timeout applies to a connection from its next response
    /// on.
    void set_limits(const http_limits& limits) { limits_ = limits; }

    /// Sets a function to call for each connection that the server ends, before it does.
    void on_connection_end(connection_observer observer) { observer_ = std::move(observer); }

    /// Closes the connections that are unused: nothing of a request has arrived, the caller has
    /// received every response, and neither happened within `server_connection::min_rest`. May be
    /// called repeatedly.
    void close_idle();

    /// Ends the requests whose callers have disconnected, also those whose end of the connection
    /// has arrived and was not read.
    /// \return their number
    std::size_t end_disconnected();

    /// Accepts the connections that wait, and refuses later ones.
    void stop_listening();

    std::size_t open_connections() const noexcept { return connections_.size(); }

    /// Number of connections that are not unused in the sense of `close_idle`. If it is 0, nothing
    /// that has arrived is lost when the process ends.
    std::size_t busy_connections() const;

private:
    static gboolean accept_ready(GSocket* socket, GIOCondition condition, gpointer self);
    static void on_headers_read(SoupServer* server, SoupServerMessage* message, const char* path,
                                GHashTable* query, gpointer self);
    static void handle(SoupServer* server, SoupServerMessage* message, const char* path,
                       GHashTable* query, gpointer self);
    static void on_chunk_read(SoupServerMessage* message, GBytes* chunk, gpointer self);
    static void request_read(SoupServer* server, SoupServerMessage* message, gpointer self);
    static void request_finished(SoupServer* server, SoupServerMessage* message, gpointer self);
    static void connection_closed(gpointer record, GObject* where);

    void report_end(const server_connection& conn, end_cause cause,
                    reason limit = reason::none) const;
    /// Scans bytes that a connection has received, and refuses requests that exceed a limit.
    void on_bytes(server_connection& conn, std::string_view bytes);
    void update_charge(server_connection& conn);
    /// Refuses the connections chosen by `request_budget::victim` until it returns none.
    void enforce_budget(const server_connection& current);
    /// Ends the connection. Sends the response for the reason first, except over TLS, to an idle
    /// connection that has timed out, and while a request is being handled.
    void refuse_request(server_connection& conn, reason why);

    void accept(gobject_ptr<GSocket> socket);
    void destroy_accept_source();
    void refuse_connection(GSocket* socket);
    void refuse_body(SoupServerMessage* message);
    /// Ends exchanges whose caller has disconnected, requests that exceed `request_timeout` and
    /// connections that exceed `idle_timeout`.
    void sweep();
    /// Connection of a message; null if it is unknown.
    static server_connection* find(SoupServerMessage* message);

    http_limits limits_;
    handler handler_;
    refusal refuse_;
    connection_observer observer_;
    gobject_ptr<SoupServer> server_;
    gobject_ptr<GSocket> listener_;
    gobject_ptr<GTlsCertificate> certificate_;
    GSource* accept_source_ = nullptr;
    std::unordered_set<server_connection*> connections_;
    request_budget budget_;
    std::unordered_map<std::uint64_t, server_connection*> by_number_; ///< by number in the budget
    timer sweep_timer_;
    time_point last_sweep_ = boot_clock::now();
    bool sweep_skipped_ = false; ///< by the last call of `sweep`
};

} // namespace chivewharf::runtime
