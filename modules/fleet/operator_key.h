#pragma once

#include <array>
#include <base/enum_names.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace chivewharf::fleet {

/// What a record of the operators' topic is about.
///  - `configuration`: its value is the configuration. `drain`: a failure domain is drained while
///    the record exists. `other`: this system does not use it.
enum class operator_record_kind : std::uint8_t { configuration, drain, other };

/// The decoded key of a record of the operators' topic.
struct operator_key {
    operator_record_kind kind = operator_record_kind::other;
    std::string domain; ///< of a drain
    bool operator==(const operator_key&) const = default;
};

} // namespace chivewharf::fleet

template <>
struct chivewharf::enum_names<chivewharf::fleet::operator_record_kind> {
    static constexpr std::array<std::string_view, 3> names{"configuration", "drain", "other"};
};
