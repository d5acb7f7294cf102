#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace chivewharf {

/// Names of the enumerators of an `enum class` whose values are contiguous from 0. Specialisations
/// define a static member `names`, a std::array in the order of the enumerators.
template <class E>
struct enum_names;

/// Number of enumerators.
template <class E>
inline constexpr std::size_t enum_count = enum_names<E>::names.size();

/// Name of an enumerator as used in logs, metrics and JSON.
template <class E>
constexpr std::string_view to_name(E value)
{
    return enum_names<E>::names[static_cast<std::size_t>(value)];
}

/// Enumerator with the given name; none if there is no such enumerator.
template <class E>
constexpr std::optional<E> from_name(std::string_view name)
{
    for (std::size_t i = 0; i < enum_count<E>; ++i) {
        if (enum_names<E>::names[i] == name)
            return static_cast<E>(i);
    }
    return std::nullopt;
}

} // namespace chivewharf
