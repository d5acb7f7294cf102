#pragma once

#include <array>
#include <base/enum_names.h>
#include <cstdint>
#include <string>

namespace chivewharf::ownership {

/// Error codes of the module.
enum class ownership_errc : std::uint8_t { malformed_record };

/// Error returned when a record cannot be decoded.
struct ownership_error {
    ownership_errc code;
    std::string message;
};

} // namespace chivewharf::ownership

template <>
struct chivewharf::enum_names<chivewharf::ownership::ownership_errc> {
    static constexpr std::array<std::string_view, 1> names{"malformed_record"};
};
