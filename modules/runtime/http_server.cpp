#include <runtime/http_server.h>

#include <algorithm>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <runtime/raw_response.h>
#include <runtime/request_stream.h>
#include <runtime/server_connection.h>
#include <runtime/socket_state.h>
#include <sys/socket.h>
#include <utility>
#include <vector>

namespace chivewharf::runtime {

namespace {

constexpr int listen_backlog = 1024;
constexpr duration sweep_interval = milliseconds{500};
constexpr duration max_sweep_delay = milliseconds{200};
constexpr const char* connection_key = "chivewharf-connection";

} // namespace

http_limits http_limits::for_probes()
{
    constexpr std::size_t max_probe_bytes = 4096;
    constexpr std::size_t max_probe_connections = 100;
    constexpr std::size_t max_probe_lines = 64;
    return {max_probe_bytes,
            max_probe_connections,
            seconds{3},
            {max_probe_bytes, max_probe_lines},
            seconds{15}};
}

http_server::http_server(http_limits limits, handler handle, refusal refuse, std::size_t budget)
    : limits_{limits}, handler_{std::move(handle)}, refuse_{std::move(refuse)},
      server_{soup_server_new("server-header", "chivewharf", nullptr)}, budget_{budget}
{
    soup_server_add_early_handler(server_.get(), nullptr, &http_server::on_headers_read, this,
                                  nullptr);
    soup_server_add_handler(server_.get(), nullptr, &http_server::handle, this, nullptr);
    g_signal_connect(server_.get(), "request-read", G_CALLBACK(&http_server::request_read), this);
    g_signal_connect(server_.get(), "request-finished", G_CALLBACK(&http_server::request_finished),
                     this);
    g_signal_connect(server_.get(), "request-aborted", G_CALLBACK(&http_server::request_finished),
                     this);
    sweep_timer_.every(sweep_interval, [this] { sweep(); });
}

http_server::~http_server()
{
    destroy_accept_source();
    g_signal_handlers_disconnect_by_data(server_.get(), this);
    for (auto* conn : connections_) {
        if (!conn->state->ended)
            report_end(*conn, end_cause::exit);
        conn->server = nullptr;
    }
    soup_server_disconnect(server_.get());
}

result<std::uint16_t, runtime_error> http_server::listen(std::string_view address,
                                                         const tls_files& tls)
{
    if (!tls.certificate.empty()) {
        GError* error = nullptr;
        certificate_.reset(
            g_tls_certificate_new_from_files(tls.certificate.c_str(), tls.key.c_str(), &error));
        if (!certificate_) {
            const gerror_ptr owner{error};
            return unexpected{runtime_error{runtime_errc::tls_setup_failed,
                                            "cannot load TLS certificate " + tls.certificate +
                                                ": " + error->message}};
        }
    }
    auto socket = open_listener(address, listen_backlog);
    if (!socket)
        return unexpected{socket.error()};
    listener_ = std::move(*socket);
    // libsoup keeps connections open between requests only while it has a listener, so it is given
    // this one. It never accepts a connection itself, because the source below has a higher
    // priority and accepts until the queue is empty.
    GError* error = nullptr;
    if (soup_server_listen_socket(server_.get(), listener_.get(), SoupServerListenOptions{},
                                  &error) == FALSE) {
        const gerror_ptr owner{error};
        return unexpected{
            runtime_error{runtime_errc::bind_failed,
                          "cannot listen on " + std::string{address} + ": " + error->message}};
    }
    accept_source_ = g_socket_create_source(listener_.get(), G_IO_IN, nullptr);
    g_source_set_priority(accept_source_, G_PRIORITY_HIGH);
    g_source_set_callback(accept_source_, G_SOURCE_FUNC(&http_server::accept_ready), this, nullptr);
    g_source_attach(accept_source_, nullptr);
    return local_port(listener_.get());
}

gboolean http_server::accept_ready(GSocket* socket, GIOCondition /*condition*/, gpointer self)
{
    auto* server = static_cast<http_server*>(self);
    while (auto* accepted = g_socket_accept(socket, nullptr, nullptr))
        server->accept(gobject_ptr<GSocket>{accepted});
    return G_SOURCE_CONTINUE;
}

void http_server::accept(gobject_ptr<GSocket> socket)
{
    g_socket_set_blocking(socket.get(), FALSE);
    if (connections_.size() >= limits_.max_connections) {
        refuse_connection(socket.get());
        return;
    }
    g_socket_set_option(socket.get(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
    const gobject_ptr<GSocketAddress> local{g_socket_get_local_address(socket.get(), nullptr)};
    const gobject_ptr<GSocketAddress> remote{g_socket_get_remote_address(socket.get(), nullptr)};
    if (!local || !remote)
        return;
    const gobject_ptr<GSocketConnection> stream{
        g_socket_connection_factory_create_connection(socket.get())};
    auto* record = new server_connection{this, std::move(socket)};
    record->idle_timeout = limits_.idle_timeout;
    connections_.insert(record);
    record->number = budget_.open();
    by_number_.emplace(record->number, record);
    record->state->on_bytes = [record](std::string_view bytes) {
        if (record->server != nullptr)
            record->server->on_bytes(*record, bytes);
    };
    // Every message of the connection refers to this address object, so find() can get from a
    // message to its record.
    g_object_set_data(G_OBJECT(remote.get()), connection_key, record);
    g_object_weak_ref(G_OBJECT(stream.get()), &http_server::connection_closed, record);
    auto transport = retain(G_IO_STREAM(stream.get()));
    if (certificate_)
        transport.reset(g_tls_server_connection_new(transport.get(), certificate_.get(), nullptr));
    if (!transport)
        return;
    const auto input = make_request_stream(transport.get(), record->state);
    const gobject_ptr<GIOStream> served{
        g_simple_io_stream_new(input.get(), g_io_stream_get_output_stream(transport.get()))};
    soup_server_accept_iostream(server_.get(), served.get(), local.get(), remote.get(), nullptr);
}

void http_server::connection_closed(gpointer record, GObject* /*stream*/)
{
    const std::unique_ptr<server_connection> closed{static_cast<server_connection*>(record)};
    // The stream may outlive the record.
    closed->state->on_bytes = nullptr;
    if (closed->server == nullptr)
        return;
    closed->server->connections_.erase(closed.get());
    closed->server->by_number_.erase(closed->number);
    closed->server->budget_.close(closed->number);
}

void http_server::report_end(const server_connection& conn, end_cause cause, reason limit) const
{
    if (observer_)
        observer_(conn.describe_end(cause, limit, boot_clock::now()));
}

void http_server::on_bytes(server_connection& conn, std::string_view bytes)
{
    conn.last_used = boot_clock::now();
    if (!conn.receiving_since)
        conn.receiving_since = conn.last_used;
    while (!bytes.empty()) {
        bytes.remove_prefix(conn.scanner.scan(bytes, limits_.head));
        if (conn.scanner.violation() != reason::none)
            return refuse_request(conn, conn.scanner.violation());
        if (conn.scanner.at_end())
            conn.complete.push_back(conn.scanner.size());
    }
    update_charge(conn);
    enforce_budget(conn);
}

void http_server::update_charge(server_connection& conn)
{
    std::size_t bytes = 0;
    bool first = true;
    const auto add = [&](const request_size& size) {
        bytes += first ? request_budget::cost(size) : size.head_bytes + size.body_bytes;
        first = false;
    };
    for (const auto& one : conn.complete)
        add(one);
    if (conn.scanner.receiving())
        add(conn.scanner.size());
    budget_.charge(conn.number, bytes, !conn.in_handler && !conn.body_refused);
}

void http_server::enforce_budget(const server_connection& current)
{
    while (const auto victim = budget_.victim(current.number))
        refuse_request(*by_number_.at(victim), reason::request_memory);
}

void http_server::refuse_request(server_connection& conn, reason why)
{
    report_end(conn, end_cause::refusal, why);
    budget_.refuse(conn.number);
    const auto response = refuse_(why);
    const bool expects_response = why != reason::idle_timeout && !conn.in_handler;
    if (expects_response && !certificate_)
        write_raw_response(conn.socket.get(), response);
    conn.end();
}

void http_server::refuse_connection(GSocket* socket)
{
    const auto response = refuse_(reason::too_many_connections);
    if (!certificate_)
        write_raw_response(socket, response);
}

server_connection* http_server::find(SoupServerMessage* message)
{
    auto* remote = soup_server_message_get_remote_address(message);
    if (remote == nullptr)
        return nullptr;
    return static_cast<server_connection*>(g_object_get_data(G_OBJECT(remote), connection_key));
}

void http_server::on_headers_read(SoupServer* /*server*/, SoupServerMessage* message,
                                  const char* /*path*/, GHashTable* /*query*/, gpointer self)
{
    auto* server = static_cast<http_server*>(self);
    auto* headers = soup_server_message_get_request_headers(message);
    const auto length = soup_message_headers_get_content_length(headers);
    if (length > static_cast<goffset>(server->limits_.max_body_bytes)) {
        server->refuse_body(message);
        return;
    }
    if (soup_message_headers_get_encoding(headers) == SOUP_ENCODING_CHUNKED)
        g_signal_connect(message, "got-chunk", G_CALLBACK(&http_server::on_chunk_read), server);
}

void http_server::refuse_body(SoupServerMessage* message)
{
    soup_message_body_set_accumulate(soup_server_message_get_request_body(message), FALSE);
    if (auto* conn = find(message))
        conn->body_refused = true;
    const auto response = refuse_(reason::body_too_large);
    soup_server_message_set_status(message, response.status, nullptr);
    soup_server_message_set_response(message, response.content_type.c_str(), SOUP_MEMORY_COPY,
                                     response.body.data(), response.body.size());
    soup_message_headers_replace(soup_server_message_get_response_headers(message), "Connection",
                                 "close");
}

void http_server::on_chunk_read(SoupServerMessage* message, GBytes* /*chunk*/, gpointer self)
{
    auto* server = static_cast<http_server*>(self);
    auto* body = soup_server_message_get_request_body(message);
    if (body->length > static_cast<goffset>(server->limits_.max_body_bytes) &&
        soup_server_message_get_status(message) == 0)
        server->refuse_body(message);
}

void http_server::request_read(SoupServer* /*server*/, SoupServerMessage* message,
                               gpointer /*self*/)
{
    auto* conn = find(message);
    if (conn == nullptr)
        return;
    conn->in_handler = true;
    conn->receiving_since.reset();
    conn->server->update_charge(*conn);
}

void http_server::request_finished(SoupServer* /*server*/, SoupServerMessage* message,
                                   gpointer /*self*/)
{
    auto* conn = find(message);
    if (conn == nullptr)
        return;
    conn->in_handler = false;
    conn->last_used = boot_clock::now();
    conn->state->receiving = false;
    conn->body_refused = false;
    if (!conn->complete.empty())
        conn->complete.pop_front();
    if (conn->scanner.receiving())
        conn->receiving_since = conn->last_used;
    else
        conn->receiving_since.reset();
    if (conn->server == nullptr)
        return;
    conn->idle_timeout = conn->server->limits_.idle_timeout;
    conn->server->update_charge(*conn);
}

std::size_t http_server::busy_connections() const
{
    const auto now = boot_clock::now();
    return static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(), [now](const auto* conn) {
            return !conn->state->ended && !conn->unused(now);
        }));
}

void http_server::handle(SoupServer* /*server*/, SoupServerMessage* message, const char* path,
                         GHashTable* query, gpointer self)
{
    if (soup_server_message_get_status(message) != 0)
        return;
    const auto exchange = http_exchange::start(message, path, query);
    auto* conn = find(message);
    // A request that was refused as not run must not reach the handler.
    if (conn != nullptr && conn->state->ended) {
        exchange->handle_disconnect();
        return;
    }
    if (conn != nullptr)
        conn->exchange = exchange;
    // If the process was suspended after the request arrived, the caller may have disconnected in
    // the meantime and sent the request to another host.
    if (conn != nullptr && closed_by_peer(conn->socket.get())) {
        exchange->handle_disconnect();
        return;
    }
    static_cast<http_server*>(self)->handler_(exchange);
}

void http_server::close_idle()
{
    const auto now = boot_clock::now();
    for (auto* conn : connections_) {
        if (conn->state->ended || !conn->unused(now))
            continue;
        report_end(*conn, end_cause::stop);
        conn->end();
    }
}

void http_server::stop_listening()
{
    if (accept_source_ == nullptr)
        return;
    accept_ready(listener_.get(), G_IO_IN, this);
    destroy_accept_source();
    // libsoup's own source for the listener finds it unusable and goes too. The descriptor stays
    // open, so that its number is not used again while libsoup holds it.
    shutdown(g_socket_get_fd(listener_.get()), SHUT_RDWR);
}

void http_server::destroy_accept_source()
{
    if (accept_source_ == nullptr)
        return;
    g_source_destroy(accept_source_);
    g_source_unref(accept_source_);
    accept_source_ = nullptr;
}

std::size_t http_server::end_disconnected()
{
    std::vector<std::shared_ptr<http_exchange>> disconnected;
    for (const auto* conn : connections_) {
        auto waiting = conn->exchange.lock();
        if (!conn->state->ended && conn->in_handler && waiting && !waiting->answered() &&
            closed_by_peer(conn->socket.get()))
            disconnected.push_back(std::move(waiting));
    }
    for (const auto& exchange : disconnected)
        exchange->handle_disconnect();
    return disconnected.size();
}

void http_server::sweep()
{
    const auto now = boot_clock::now();
    const auto late = now - std::exchange(last_sweep_, now) - sweep_interval;
    // If the process did not run for a while, what arrived in that time is read first. A process
    // that is always late sweeps every other time.
    sweep_skipped_ = late > max_sweep_delay && !sweep_skipped_;
    if (sweep_skipped_)
        return;
    std::vector<server_connection*> slow;
    std::vector<server_connection*> idle;
    end_disconnected();
    for (auto* conn : connections_) {
        if (conn->state->ended)
            continue;
        if (conn->exceeds_idle_timeout(limits_.idle_timeout, now))
            idle.push_back(conn);
        else if (conn->exceeds_request_timeout(limits_.request_timeout, now))
            slow.push_back(conn);
    }
    for (auto* conn : slow)
        refuse_request(*conn, reason::header_timeout);
    for (auto* conn : idle)
        refuse_request(*conn, reason::idle_timeout);
}

} // namespace chivewharf::runtime
