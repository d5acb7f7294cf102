#pragma once

#include <array>
#include <base/enum_names.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace chivewharf::upstream {

/// Number of a worker in its pool. A number is used again only after the worker was removed and its
/// last task ended.
using worker_id = std::uint32_t;

/// A worker as the settings describe it. The name identifies it.
struct worker_config {
    std::string name;
    std::string address;
    std::string service;
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;

    friend bool operator==(const worker_config&, const worker_config&) = default;
};

enum class worker_state : std::uint8_t {
    usable,
    suspect, ///< connections went silent: new connections are used, one task at a time
    ejected, ///< receives nothing until its probe is due
    probing, ///< slots are restored by successes
    leaving, ///< announced by the platform's list or the runner's header
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
