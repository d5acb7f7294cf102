#pragma once

#include <array>
#include <base/enum_names.h>
#include <cstdint>
#include <string>

namespace chivewharf::submission {

/// Error codes of this module.
enum class submission_errc : std::uint8_t { invalid_id, invalid_name };

/// Error from `submission_id::parse` or `id_issuer::make`.
struct submission_error {
    submission_errc code;
    std::string message;
};

} // namespace chivewharf::submission

template <>
struct chivewharf::enum_names<chivewharf::submission::submission_errc> {
    static constexpr std::array<std::string_view, 2> names{"invalid_id", "invalid_name"};
};
