#include <runtime/server_connection.h>

#include <algorithm>
#include <runtime/socket_state.h>

namespace chivewharf::runtime {

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
    return between_requests() || response_unread_for(now) > timeout;
}

duration server_connection::response_unread_for(time_point now) const
{
    const auto answered = exchange.lock();
    return in_handler && answered && answered->answered() ? now - answered->answered_at()
                                                          : duration{};
}

bool server_connection::exceeds_request_timeout(duration timeout, time_point now) const
{
    return !in_handler && receiving_since && now - *receiving_since > timeout;
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
