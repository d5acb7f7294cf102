#pragma once

#include <base/time.h>
#include <cstdint>
#include <fleet/types.h>
#include <optional>
#include <string>
#include <wire/messages.h>

namespace chivewharf::fleet {

/// An owner that jobs can be sent to.
struct owner_view {
    wire::shard shard;
    std::string host;
    std::uint64_t incarnation = 0; ///< of its process
    std::uint64_t epoch = 0;
    bool takeover_complete = false;
    std::uint64_t free_milli = 0;         ///< free processor time, thousandths of a core
    duration backlog{};                   ///< estimated time in which it can run its waiting tasks
    shared_worker_list workers;           ///< none if the owner has not told them
    std::optional<wire::shard_room> room; ///< none if the owner has not told it
    time_point reported{};                ///< when the owner's last report arrived
};

} // namespace chivewharf::fleet
