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
    duration retry_after{}; ///< zero where a retry makes no sense
};

/// HTTP status that belongs to an outcome and its reason.
unsigned http_status(submission::outcome result, reason why);

/// Renders an answer for the submission id.
caller_answer render(const submission::answer& reply, std::string_view id,
                     duration retry_after = {});

/// Renders a refusal without an answer object.
caller_answer render_refusal(reason why, work_state work, std::string_view id,
                             std::string message = {}, duration retry_after = {});

} // namespace chivewharf::dispatch
