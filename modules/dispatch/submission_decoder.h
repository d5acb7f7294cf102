#pragma once

#include <base/reason.h>
#include <base/result.h>
#include <base/time.h>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <submission/submission_table.h>
#include <vector>

namespace chivewharf::dispatch {

/// Limits on the body of a submission.
struct body_limits {
    std::size_t max_tasks = 210;
};

/// The body of a submission, decoded.
struct submission_body {
    std::string service;
    std::optional<duration> deadline; ///< relative to the arrival of the submission
    std::vector<submission::task_request> tasks;
};

/// The reason why a body was refused: `malformed_request` or `too_many_tasks`, with a message that
/// names the key, the value and what was expected.
struct body_error {
    reason cause;
    std::string message;
};

/// Decodes the JSON body of a submission. Unknown keys, duplicate keys, wrong types and values out
/// of range are errors. Payloads are returned as JSON text with numbers exactly as the caller wrote
/// them.
result<submission_body, body_error> decode_submission(std::string_view text,
                                                      const body_limits& limits);

} // namespace chivewharf::dispatch
