#pragma once

#include <base/time.h>
#include <functional>
#include <libsoup/soup.h>
#include <memory>
#include <optional>
#include <runtime/gobject_ptr.h>
#include <runtime/http_message.h>
#include <string_view>

namespace chivewharf::runtime {

/// A request to an `http_server` and its response. It keeps itself alive until the response is sent
/// or the caller has disconnected. A handler may respond immediately or later.
class http_exchange : public std::enable_shared_from_this<http_exchange> {
public:
    /// Wraps a message whose request has been read. Used by `http_server` only.
    static std::shared_ptr<http_exchange> start(SoupServerMessage* message, const char* path,
                                                GHashTable* query);

    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;
    http_exchange(http_exchange&&) = delete;
    http_exchange& operator=(http_exchange&&) = delete;
    ~http_exchange();

    const http_request& request() const noexcept { return request_; }

    /// Value of a request header; none if it is absent.
    std::optional<std::string_view> header(const char* name) const;

    /// Sends the response. Has no effect after an earlier response or after a disconnect.
    void respond(http_response response);

    /// Sets a function to call if the caller disconnects before `respond` is called.
    void on_disconnect(std::function<void()> callback) { on_disconnect_ = std::move(callback); }

    bool answered() const noexcept { return answered_; }

    /// Time of the call of `respond`; meaningful if `answered`.
    time_point answered_at() const noexcept { return answered_at_; }

    /// Ends the exchange after the caller has disconnected. Used by `http_server` only.
    void handle_disconnect();

private:
    http_exchange(SoupServerMessage* message, const char* path, GHashTable* query);

    static void finished(SoupServerMessage* message, gpointer self);

    gobject_ptr<SoupServerMessage> message_;
    gbytes_ptr body_;
    http_request request_;
    std::function<void()> on_disconnect_;
    std::shared_ptr<http_exchange> self_;
    gulong finished_handler_ = 0;
    bool answered_ = false;
    time_point answered_at_{};
    bool paused_ = false;
};

} // namespace chivewharf::runtime
