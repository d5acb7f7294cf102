#pragma once

#include <base/time.h>
#include <functional>
#include <memory>
#include <optional>
#include <runtime/gobject_ptr.h>
#include <string>
#include <string_view>

namespace chivewharf::testing_support {

/// An HTTP response, split into head and body.
struct raw_response {
    unsigned status = 0;
    std::string head;
    std::string body;

    /// Returns the value of a header field, or an empty view if it is absent.
    std::string_view header(std::string_view name) const;
};

/// A keep-alive HTTP connection with one request in flight at a time. It supports only responses
/// with a Content-Length, which keeps it several times faster than the daemon under test.
class connection {
public:
    /// Called with the response, or with `std::nullopt` if the connection closed first.
    using done_function = std::function<void(std::optional<raw_response>)>;

    /// \param target `IP:PORT`
    explicit connection(std::string target) : target_{std::move(target)} {}
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    connection(connection&&) = delete;
    connection& operator=(connection&&) = delete;
    ~connection() { close(); }

    /// Opens the connection if it is not open.
    void open();

    /// Sends a complete request, opening the connection if necessary. Must not be called while
    /// busy.
    void send(std::string request, done_function done);

    const std::string& target() const noexcept { return target_; }
    bool busy() const noexcept { return static_cast<bool>(done_); }

    /// Start time of the latest connection attempt.
    time_point opened_at() const noexcept { return opened_at_; }

private:
    static gboolean ready(gint fd, GIOCondition condition, gpointer self);

    void watch(GIOCondition condition);
    void close();
    void fail();
    bool write();
    bool read();
    void parse();

    std::string target_;
    runtime::gobject_ptr<GSocket> socket_;
    guint source_ = 0;
    GIOCondition watched_{};
    std::string output_;
    std::size_t written_ = 0;
    std::string input_;
    done_function done_;
    time_point opened_at_{};
};

} // namespace chivewharf::testing_support
