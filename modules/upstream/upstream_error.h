#pragma once

#include <array>
#include <base/enum_names.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace chivewharf::upstream {

enum class upstream_errc : std::uint8_t { unknown_worker, no_slots, no_connections, empty_name };

/// Error of this module.
struct upstream_error {
    upstream_errc code;
    std::string message;
};

} // namespace chivewharf::upstream

namespace chivewharf {

template <>
struct enum_names<upstream::upstream_errc> {
    static constexpr std::array<std::string_view, 4> names{"unknown_worker", "no_slots",
                                                           "no_connections", "empty_name"};
};

} // namespace chivewharf
