#pragma once

#include <base/time.h>
#include <cstdint>
#include <random>

namespace chivewharf {

/// Random number generator. The caller seeds it and passes it in, so that decisions are
/// reproducible.
using rng = std::mt19937_64;

/// Seed that other processes cannot predict. Called only where a process is set up; decision code
/// takes a seeded `rng`.
inline std::uint64_t random_seed()
{
    std::random_device source;
    return (std::uint64_t{source()} << 32U) | source();
}

/// Uniformly distributed number in [0, 1).
inline double uniform(rng& random)
{
    return std::uniform_real_distribution<double>{0.0, 1.0}(random);
}

/// Uniformly distributed duration in [0, limit].
inline duration uniform_duration(rng& random, duration limit)
{
    return duration{std::uniform_int_distribution<duration::rep>{0, limit.count()}(random)};
}

} // namespace chivewharf
