#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <runtime/request_scanner.h>

namespace chivewharf::runtime {

/// Estimates the memory that the requests of all connections hold, and chooses the requests to
/// refuse when it runs short. Without a budget, large numbers of requests of legal size end the
/// process: libsoup keeps some twenty times the bytes of a head with very short lines.
class request_budget {
public:
    /// Bytes for a connection without a request.
    static constexpr std::size_t connection_cost = std::size_t{4} * 1024;
    /// Bytes for a request in addition to its parts: the message and the read buffers.
    static constexpr std::size_t request_cost = std::size_t{8} * 1024;
    /// Bytes that libsoup keeps for a header line in addition to its text.
    static constexpr std::size_t line_cost = 128;
    /// Bytes that libsoup keeps for a chunk in addition to its data.
    static constexpr std::size_t chunk_cost = 256;
    /// A body is held in parts, as a whole and decoded.
    static constexpr std::size_t body_factor = 3;

    /// \param bytes for all requests and connections; 0 for no limit
    explicit request_budget(std::size_t bytes = 0) : limit_{bytes} {}

    /// Estimated memory of a request.
    static std::size_t cost(const request_size& size);

    /// Adds a connection.
    /// \return its number; later connections have higher numbers
    std::uint64_t open();
    void close(std::uint64_t connection);

    /// Sets the estimated memory of the requests that a connection holds.
    /// \param refusable false once a request of the connection has been handed on
    void charge(std::uint64_t connection, std::size_t bytes, bool refusable);

    /// Marks a connection whose requests were refused. Its memory counts until `close`, because it
    /// is freed only when the loop comes to the connection.
    void refuse(std::uint64_t connection);

    /// Estimated memory of all connections in bytes.
    std::size_t used() const noexcept { return used_; }

    /// Connection to refuse while the budget is exceeded; 0 if none needs to be refused or can be.
    ///
    /// If the connection that is being read (`current`) may be refused and holds at least the mean,
    /// it is chosen, because its memory is freed at once. Otherwise it is the connection that holds
    /// the most, the newest of several with the same amount, but only if the budget is exceeded
    /// even without the memory that refused requests still hold. A connection that holds no request
    /// is never chosen.
    std::uint64_t victim(std::uint64_t current) const;

private:
    struct entry {
        std::size_t bytes = 0;
        bool refusable = true;
        bool refused = false;
    };

    std::uint64_t largest() const;

    std::size_t limit_;
    std::size_t used_ = 0;
    std::size_t refused_ = 0; ///< part of `used_` that refused requests still hold
    std::uint64_t next_ = 1;
    std::map<std::uint64_t, entry> connections_;
};

} // namespace chivewharf::runtime
