#pragma once

#include <array>
#include <base/enum_names.h>
#include <cstdint>
#include <string_view>

namespace chivewharf::upstream {

/// How the send of one task to a worker ended, as the worker pool judges it.
enum class task_outcome : std::uint8_t {
    ok,              ///< whole answer received
    failed,          ///< ran and failed
    refused_not_run, ///< the runner reported that the task did not start
    connect_failed,  ///< no connection; the task did not start
    lost,            ///< connection lost after the first byte
    silent,          ///< no answer until the deadline
    withheld,        ///< this host did not send it or closed it itself: says nothing of the worker
};

} // namespace chivewharf::upstream

namespace chivewharf {

template <>
struct enum_names<upstream::task_outcome> {
    static constexpr std::array<std::string_view, 7> names{
        "ok", "failed", "refused_not_run", "connect_failed", "lost", "silent", "withheld"};
};

} // namespace chivewharf
