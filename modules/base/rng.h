#pragma once

#include <base/time.h>
#include <cstdint>
#include <random>

namespace chivewharf {

/// Random generator that the caller seeds and passes in, so that every decision can be replayed.
using rng = std::mt19937_64;

/// Seed that another process cannot predict. Only the shell of a process calls it.
inline std::uint64_t random_seed()
{
    std::random_device source;
    return (std::uint64_t{source()} << 32U) | source();
}

/// Uniform number in [0, 1).
inline double uniform(rng& random)
{
    return std::uniform_real_distribution<double>{0.0, 1.0}(random);
}

/// Uniform duration in [0, limit].
inline duration uniform_duration(rng& random, duration limit)
{
    return duration{std::uniform_int_distribution<duration::rep>{0, limit.count()}(random)};
}

} // namespace chivewharf
