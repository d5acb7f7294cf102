#include <runtime/server_connection.h>

#include <algorithm>
#include <runtime/socket_state.h>

namespace chivewharf::runtime {

namespace {

/// A caller that has just connected, or received a response, is likely to send a request at once.
/// It takes at least a round trip to arrive.
constexpr duration min_rest = milliseconds{500};

} // namespace

bool server_connection::between_requests() const
{
    return !in_handler && !state->receiving && complete.empty() && !scanner.receiving() &&
           unread_bytes(socket.get()) == 0;
}

bool server_connection::unused(time_point now) const
{
    return now - last_used >= min_rest && between_requests() &&
           unacknowledged_bytes(socket.get()) == 0;
}

bool server_connection::exceeds_idle_timeout(duration current_timeout, time_point now) const
{
    if (current_timeout == duration{} || idle_timeout == duration{})
        return false;
    // A shorter timeout applies from the connection's next response on. Otherwise a change would
    // close many connections in one moment, some of them beside a request that is on its way.
    const auto timeout = std::max(current_timeout, idle_timeout);
    if (now - last_used <= timeout)
        return false;
    return between_requests() || untaken_for(now) > timeout;
}

duration server_connection::untaken_for(time_point now) const
{
    const auto answered = exchange.lock();
    return in_handler && answered && answered->answered() ? now - answered->answered_at()
                                                          : duration{};
}

bool server_connection::exceeds_request_timeout(duration timeout, duration unread_timeout,
                                                time_point now) const
{
    if (in_handler || !receiving_since)
        return false;
    // If the process did not run for a while, the rest of the request may be in the socket.
    const auto limit = unread_bytes(socket.get()) > 0 ? unread_timeout : timeout;
    return now - *receiving_since > limit;
}

request_stage server_connection::stage() const
{
    if (in_handler)
        return request_stage::in_work;
    if (!complete.empty())
        return request_stage::complete;
    return scanner.receiving() ? request_stage::partial : request_stage::none;
}

connection_end server_connection::describe_end(end_cause cause, reason limit, time_point now) const
{
    return {cause,
            limit,
            stage(),
            unread_bytes(socket.get()),
            unacknowledged_bytes(socket.get()),
            now - last_used};
}

void server_connection::end()
{
    state->ended = true;
    // libsoup then reads the end of the stream and closes the connection.
    g_socket_shutdown(socket.get(), TRUE, TRUE, nullptr);
}

} // namespace chivewharf::runtime
