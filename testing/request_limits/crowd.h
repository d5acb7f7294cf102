#pragma once

#include <base/rng.h>
#include <memory>
#include <runtime/gobject_ptr.h>
#include <runtime/timer.h>
#include <string>
#include <string_view>
#include <vector>

namespace chivewharf::request_limits {

/// Abusive clients of one kind. The number of clients and what each sends are fixed, so that a run
/// can be compared with earlier ones.
struct crowd_kind {
    std::string_view name;
    std::size_t clients;
    /// Returns the bytes that a client sends.
    std::string (*request)(rng& random, const std::string& host);
};

/// \return null if the name is unknown
const crowd_kind* find_crowd(std::string_view name);

/// Connections of the clients. None of them reads an answer.
class crowd {
public:
    /// Connects all clients; exits the program with 1 if a connection fails.
    /// \param address `IP:PORT` of the callers' address of the host under test
    crowd(const crowd_kind& kind, const std::string& address, std::uint64_t seed);

    /// Sends as much as the connections take.
    void send();

    /// True if every client has sent everything or has lost its connection.
    bool sent() const;

    std::size_t clients() const noexcept { return clients_.size(); }

private:
    struct client {
        runtime::gobject_ptr<GSocket> socket;
        std::string unsent;
    };

    std::vector<client> clients_;
};

} // namespace chivewharf::request_limits
