#pragma once

#include <tl/expected.hpp>

namespace chivewharf {

/// A value or the error of the layer that produced it. Each layer turns the errors of the layers
/// below it into its own.
template <class T, class E>
using result = tl::expected<T, E>;

using tl::unexpected;

} // namespace chivewharf
