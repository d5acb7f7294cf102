#pragma once

#include <array>
#include <base/enum_names.h>
#include <base/rng.h>
#include <base/time.h>
#include <cstdint>
#include <fleet/owner_view.h>
#include <fleet/sent_tasks.h>
#include <string>
#include <string_view>
#include <vector>
#include <wire/messages.h>

namespace chivewharf::fleet {

/// Age after which a report tells nothing about an owner's room.
inline constexpr duration max_report_age = seconds{3};

/// What the choice of an owner needs to know about a job.
struct job_need {
    std::uint32_t priority = 0; ///< 0 is the highest priority
    std::uint64_t tasks = 0;    ///< tasks that can start at once
};

job_need need_of(const wire::job_order& order);

/// What an owner's last report lets a job expect there.
struct owner_estimate {
    bool tells_room = false; ///< false: only the backlog is known
    bool other_domain = false;
    bool starts_now = false; ///< all tasks of the job that can start at once have room
    duration wait{};         ///< expected wait for a job of its priority
    duration cost{};         ///< expected delay, for the comparison with other owners
    std::uint64_t room = 0;  ///< tasks that could start now, less those sent since the report
};

/// Estimates from the owner's last report and what this host has sent since.
/// \param home failure domain of this host
owner_estimate estimate_owner(const owner_view& owner, const job_need& job, const sent_tasks& sent,
                              const std::string& home, time_point now);

/// False if the owner's report says that the job cannot start there in time.
///
/// For an overload of all domains: a refused job is not passed on to owners that will refuse it
/// as well.
/// \param slack time within which the job must start
bool may_start_in_time(const owner_estimate& estimate, duration slack);

/// Why a job goes to another failure domain.
///  - `none`: it stays at home. `no_owner`: no owner of the home domain can be asked.
///  - `backlog`: the home owners' backlog is longer. `wait`: their expected wait is longer.
///  - `room`: the home owners lack room for all of its tasks.
///  - `refused`: an owner of the home domain has refused it.
enum class move_reason : std::uint8_t { none, no_owner, backlog, wait, room, refused };

/// The chosen owner.
struct owner_choice {
    const owner_view* owner = nullptr; ///< null if there is no candidate
    duration wait{};                   ///< expected at this owner
    move_reason reason = move_reason::none;
};

/// Chooses the owner with the least expected delay for the job. Among owners with the same one, the
/// choice is random, in proportion to their room, so that hosts that choose from the same reports
/// fill the owners evenly.
///
/// For a peak in one failure domain: the job goes to a domain with room before it waits. A
/// domain without ample room gets it only if the wait at home is much longer, so that a peak does
/// not fill the queues of the other domains. Owners that do not tell their room are compared by
/// their backlog; if no candidate tells it, the choice is by backlog alone.
owner_choice choose_owner(const std::vector<const owner_view*>& candidates, const job_need& job,
                          const sent_tasks& sent, const std::string& home, rng& random,
                          time_point now);

} // namespace chivewharf::fleet

template <>
struct chivewharf::enum_names<chivewharf::fleet::move_reason> {
    static constexpr std::array<std::string_view, 6> names{"none", "no_owner", "backlog",
                                                           "wait", "room",     "refused"};
};
