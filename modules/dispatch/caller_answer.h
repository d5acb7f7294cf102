#pragma once

#include <base/time.h>
#include <string>
#include <string_view>
#include <submission/answer.h>

namespace chivewharf::dispatch {

/// HTTP form of an answer to a caller.
struct caller_answer {
    unsigned status = 200;
    std::string body;
    duration retry_after{}; ///< zero if a retry is pointless
};

/// HTTP status that belongs to an outcome and its reason.
unsigned http_status(submission::outcome result, reason cause);

/// Renders the answer for a submission id as JSON.
caller_answer render(const submission::answer& reply, std::string_view id,
                     duration retry_after = {});

/// Renders a refusal from its parts.
caller_answer render_refusal(reason cause, work_state work, std::string_view id,
                             std::string message = {}, duration retry_after = {});

} // namespace chivewharf::dispatch
