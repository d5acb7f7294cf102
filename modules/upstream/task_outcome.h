#pragma once

#include <array>
#include <base/enum_names.h>
#include <cstdint>
#include <string_view>

namespace chivewharf::upstream {

/// Outcome of one attempt to run a task on a worker, as the worker pool evaluates it.
enum class task_outcome : std::uint8_t {
    ok,              ///< complete answer received
    failed,          ///< the task ran and failed
    refused_not_run, ///< the runner reported that the task did not start
    connect_failed,  ///< no connection was established; the task did not start
    lost,            ///< connection lost after the first byte was sent
    silent,          ///< no answer until the deadline
    withheld,        ///< not sent, or closed by this host: says nothing about the worker
};

} // namespace chivewharf::upstream

namespace chivewharf {

template <>
struct enum_names<upstream::task_outcome> {
    static constexpr std::array<std::string_view, 7> names{
        "ok", "failed", "refused_not_run", "connect_failed", "lost", "silent", "withheld"};
};

} // namespace chivewharf
