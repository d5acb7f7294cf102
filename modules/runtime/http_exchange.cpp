#include <runtime/http_exchange.h>

#include <utility>

namespace chivewharf::runtime {

std::shared_ptr<http_exchange> http_exchange::start(SoupServerMessage* message, const char* path,
                                                    GHashTable* query)
{
    std::shared_ptr<http_exchange> exchange{new http_exchange{message, path, query}};
    exchange->self_ = exchange;
    return exchange;
}

http_exchange::http_exchange(SoupServerMessage* message, const char* path, GHashTable* query)
    : message_{retain(message)}
{
    request_.method = soup_server_message_get_method(message);
    request_.path = path;
    if (query != nullptr) {
        GHashTableIter iter;
        gpointer key = nullptr;
        gpointer value = nullptr;
        g_hash_table_iter_init(&iter, query);
        while (g_hash_table_iter_next(&iter, &key, &value) != FALSE)
            request_.query.emplace(static_cast<const char*>(key), static_cast<const char*>(value));
    }
    body_.reset(soup_message_body_flatten(soup_server_message_get_request_body(message)));
    gsize size = 0;
    const auto* data = static_cast<const char*>(g_bytes_get_data(body_.get(), &size));
    request_.body = {data, size};
    finished_handler_ =
        g_signal_connect(message, "finished", G_CALLBACK(&http_exchange::finished), this);
    soup_server_message_pause(message);
    paused_ = true;
}

http_exchange::~http_exchange()
{
    if (finished_handler_ != 0)
        g_signal_handler_disconnect(message_.get(), finished_handler_);
}

std::optional<std::string_view> http_exchange::header(const char* name) const
{
    auto* headers = soup_server_message_get_request_headers(message_.get());
    const char* value = soup_message_headers_get_one(headers, name);
    if (value == nullptr)
        return std::nullopt;
    return std::string_view{value};
}

void http_exchange::respond(http_response response)
{
    if (answered_ || !self_)
        return;
    answered_ = true;
    answered_at_ = boot_clock::now();
    on_disconnect_ = nullptr;
    auto* headers = soup_server_message_get_response_headers(message_.get());
    for (const auto& field : response.headers)
        soup_message_headers_replace(headers, field.name.c_str(), field.value.c_str());
    soup_server_message_set_status(message_.get(), response.status, nullptr);
    soup_server_message_set_response(message_.get(), response.content_type.c_str(),
                                     SOUP_MEMORY_COPY, response.body.data(), response.body.size());
    if (paused_)
        soup_server_message_unpause(message_.get());
    paused_ = false;
}

void http_exchange::handle_disconnect()
{
    const auto keep_alive = shared_from_this();
    if (on_disconnect_)
        std::exchange(on_disconnect_, nullptr)();
    // The caller does not receive the response, but it makes libsoup end the message and close the
    // connection.
    respond({503, {}, "text/plain", {{"Connection", "close"}}});
}

void http_exchange::finished(SoupServerMessage* /*message*/, gpointer self)
{
    auto* exchange = static_cast<http_exchange*>(self);
    // Keeps the exchange alive until this function returns.
    const auto keep_alive = std::move(exchange->self_);
    if (!exchange->answered_ && exchange->on_disconnect_)
        std::exchange(exchange->on_disconnect_, nullptr)();
}

} // namespace chivewharf::runtime
