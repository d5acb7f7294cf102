#pragma once

#include <array>
#include <base/reason.h>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace chivewharf::submission {

/// Outcome of a submission as reported to its caller.
enum class outcome : std::uint8_t { pending, complete, failed, refused };

/// Numbers of tasks by work state.
struct work_counts {
    std::uint32_t ran = 0;
    std::uint32_t not_run = 0;
    std::uint32_t may_have_run = 0;

    bool operator==(const work_counts&) const = default;
};

/// Work state of a whole submission: `ran` or `not_run` only if that holds for every task,
/// otherwise `may_have_run`.
constexpr work_state summarise(const work_counts& counts) noexcept
{
    if (counts.may_have_run == 0 && counts.ran == 0)
        return work_state::not_run;
    if (counts.may_have_run == 0 && counts.not_run == 0)
        return work_state::ran;
    return work_state::may_have_run;
}

/// Answer to a submission.
struct answer {
    outcome result = outcome::pending;
    reason why = reason::none;
    work_state work = work_state::may_have_run;
    std::string message;
    std::vector<std::string> payloads; ///< one per task if complete, otherwise empty
    work_counts counts;                ///< set if complete or failed

    bool operator==(const answer&) const = default;
};

/// Shared between the table and all waiters.
using answer_ptr = std::shared_ptr<const answer>;

/// Creates an answer with the outcome `refused`.
answer_ptr refuse(reason why, work_state work, std::string message = {});

} // namespace chivewharf::submission

template <>
struct chivewharf::enum_names<chivewharf::submission::outcome> {
    static constexpr std::array<std::string_view, 4> names{"pending", "complete", "failed",
                                                           "refused"};
};
