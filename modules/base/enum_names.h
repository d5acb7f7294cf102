#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace chivewharf {

/// Table of names of an `enum class` whose enumerators count up from 0. Specialise it with a static
/// member `names`, a std::array in the order of the enumerators.
template <class E>
struct enum_names;

/// Number of enumerators.
template <class E>
inline constexpr std::size_t enum_count = enum_names<E>::names.size();

/// Name of an enumerator, as it stands in logs, metrics and JSON.
template <class E>
constexpr std::string_view to_name(E value)
{
    return enum_names<E>::names[static_cast<std::size_t>(value)];
}

/// Enumerator with the given name; none if no enumerator has it.
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
