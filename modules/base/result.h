#pragma once

#include <tl/expected.hpp>

namespace chivewharf {

/// A value, or an error of the layer that returns it. Each layer converts errors of lower layers
/// into its own error type.
template <class T, class E>
using result = tl::expected<T, E>;

using tl::unexpected;

} // namespace chivewharf
