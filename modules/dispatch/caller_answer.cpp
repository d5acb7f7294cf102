#include <dispatch/caller_answer.h>

#include <dispatch/json_text.h>

namespace chivewharf::dispatch {

namespace {

using submission::outcome;

unsigned refusal_status(reason cause)
{
    switch (cause) {
    case reason::unauthenticated:
        return 401;
    case reason::forbidden:
        return 403;
    case reason::unknown_route:
    case reason::unknown_submission:
        return 404;
    case reason::header_timeout:
        return 408;
    case reason::owner_gone:
    case reason::id_body_mismatch:
    case reason::id_expired:
        return 409;
    case reason::body_too_large:
        return 413;
    case reason::rate_limited:
    case reason::concurrency_limited:
        return 429;
    case reason::internal:
        return 500;
    case reason::header_too_large:
        return 431;
    case reason::ambiguous_length:
    case reason::malformed_request:
    case reason::missing_id:
    case reason::invalid_id:
    case reason::id_not_issued:
    case reason::too_many_tasks:
    case reason::unknown_service:
    case reason::never_runnable:
    case reason::deadline_unreachable:
        return 400;
    default:
        return 503;
    }
}

unsigned failure_status(reason cause)
{
    if (cause == reason::cancelled)
        return 409;
    return cause == reason::deadline_passed ? 504 : 502;
}

void add_field(std::string& out, std::string_view name, std::string_view value)
{
    out += ",\"";
    out += name;
    out += "\":\"";
    out += value;
    out += '"';
}

void add_tasks(std::string& out, const std::vector<std::string>& payloads)
{
    out += ",\"tasks\":[";
    bool first = true;
    for (const auto& payload : payloads) {
        out += first ? "{\"payload\":" : ",{\"payload\":";
        out += payload;
        out += '}';
        first = false;
    }
    out += ']';
}

void add_counts(std::string& out, const submission::work_counts& counts)
{
    out += ",\"work_counts\":{\"ran\":" + std::to_string(counts.ran) +
           ",\"not_run\":" + std::to_string(counts.not_run) +
           ",\"may_have_run\":" + std::to_string(counts.may_have_run) + '}';
}

} // namespace

unsigned http_status(outcome result, reason cause)
{
    switch (result) {
    case outcome::complete:
        return 200;
    case outcome::pending:
        return 202;
    case outcome::failed:
        return failure_status(cause);
    case outcome::refused:
        return refusal_status(cause);
    }
    return 500;
}

caller_answer render(const submission::answer& reply, std::string_view id, duration retry_after)
{
    std::size_t size = 256;
    for (const auto& payload : reply.payloads)
        size += payload.size() + 16;
    std::string body;
    body.reserve(size);
    body += "{\"id\":" + quote_json(id);
    add_field(body, "outcome", to_name(reply.result));
    add_field(body, "reason", to_name(reply.why));
    add_field(body, "work", to_name(reply.work));
    if (!reply.message.empty())
        body += ",\"message\":" + quote_json(reply.message);
    if (reply.result == outcome::complete)
        add_tasks(body, reply.payloads);
    if (reply.result == outcome::failed)
        add_counts(body, reply.counts);
    body += '}';
    return {http_status(reply.result, reply.why), std::move(body), retry_after};
}

caller_answer render_refusal(reason cause, work_state work, std::string_view id,
                             std::string message, duration retry_after)
{
    return render(*submission::refuse(cause, work, std::move(message)), id, retry_after);
}

} // namespace chivewharf::dispatch
