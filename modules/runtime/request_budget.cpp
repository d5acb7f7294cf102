#include <runtime/request_budget.h>

namespace chivewharf::runtime {

std::size_t request_budget::cost(const request_size& size)
{
    return request_cost + size.head_bytes + size.lines * line_cost + size.body_bytes * body_factor +
           size.chunks * chunk_cost;
}

std::uint64_t request_budget::open()
{
    used_ += connection_cost;
    connections_.emplace(next_, entry{connection_cost, true, false});
    return next_++;
}

void request_budget::close(std::uint64_t connection)
{
    const auto found = connections_.find(connection);
    if (found == connections_.end())
        return;
    used_ -= found->second.bytes;
    if (found->second.refused)
        refused_ -= found->second.bytes;
    connections_.erase(found);
}

void request_budget::charge(std::uint64_t connection, std::size_t bytes, bool refusable)
{
    const auto found = connections_.find(connection);
    if (found == connections_.end() || found->second.refused)
        return;
    used_ += connection_cost + bytes - found->second.bytes;
    found->second = {connection_cost + bytes, refusable, false};
}

void request_budget::refuse(std::uint64_t connection)
{
    const auto found = connections_.find(connection);
    if (found == connections_.end() || found->second.refused)
        return;
    found->second.refused = true;
    found->second.refusable = false;
    refused_ += found->second.bytes;
}

std::uint64_t request_budget::victim(std::uint64_t current) const
{
    if (limit_ == 0 || used_ <= limit_)
        return 0;
    const auto reading = connections_.find(current);
    const auto mean = used_ / connections_.size();
    if (reading != connections_.end() && reading->second.refusable && reading->second.bytes >= mean)
        return current;
    return used_ - refused_ > limit_ ? largest() : 0;
}

std::uint64_t request_budget::largest() const
{
    std::uint64_t chosen = 0;
    std::size_t bytes = 0;
    for (const auto& [connection, held] : connections_) {
        // A connection without a request frees almost nothing, and its caller's next request may be
        // in the socket.
        const bool has_request = held.bytes > connection_cost;
        if (!has_request || !held.refusable || held.bytes < bytes)
            continue;
        chosen = connection;
        bytes = held.bytes;
    }
    return chosen;
}

} // namespace chivewharf::runtime
