#pragma once

#include <array>
#include <base/enum_names.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace chivewharf::upstream {

/// Identifies a worker within its pool. An id is reused only after its worker was removed and the
/// last task on it has ended.
using worker_id = std::uint32_t;

/// Configuration of a worker, which is identified by its name.
struct worker_config {
    std::string name;
    std::string address;
    std::string service;
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;

    friend bool operator==(const worker_config&, const worker_config&) = default;
};

/// State of a worker. The order matters: states before `leaving` mean that the worker is in
/// service.
enum class worker_state : std::uint8_t {
    usable,
    suspect, ///< its connections went silent: one task at a time, on new connections
    ejected, ///< receives no task until its probe is due
    probing, ///< successful tasks restore its slots one by one
    leaving, ///< its shutdown was announced by the platform's list or a header of the runner
    drained, ///< by an operator
    gone,    ///< removed from the settings; its running tasks end
};

} // namespace chivewharf::upstream

namespace chivewharf {

template <>
struct enum_names<upstream::worker_state> {
    static constexpr std::array<std::string_view, 7> names{
        "usable", "suspect", "ejected", "probing", "leaving", "drained", "gone"};
};

} // namespace chivewharf
