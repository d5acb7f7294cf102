#pragma once

#include <base/time.h>
#include <functional>
#include <memory>
#include <optional>
#include <runtime/gobject_ptr.h>
#include <string>
#include <string_view>

namespace chivewharf::testing_support {

/// A response as it arrived.
struct raw_response {
    unsigned status = 0;
    std::string head;
    std::string body;

    /// Value of a header field, or empty.
    std::string_view header(std::string_view name) const;
};

/// A keep-alive connection that carries one request at a time. It reads responses with a
/// Content-Length only, which keeps it several times faster than the daemon it measures.
class connection {
public:
    /// Runs with the response, or with none when the connection ended first.
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

    /// Sends a whole request, opening the connection if necessary.
    void send(std::string request, done_function done);

    const std::string& target() const noexcept { return target_; }
    bool busy() const noexcept { return static_cast<bool>(done_); }

    /// Time of the latest `connect`.
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
