#pragma once

#include <base/time.h>
#include <cstdint>

namespace chivewharf::dispatch {

/// Decides whether the ownership of an id still allows this process to start tasks.
class start_guard {
public:
    start_guard() = default;
    start_guard(const start_guard&) = delete;
    start_guard& operator=(const start_guard&) = delete;
    virtual ~start_guard() = default;

    /// \param slot ownership slot of the id; `submission::no_slot` for an issued id
    /// \param epoch ownership epoch of the slot at admission
    virtual bool may_start(std::uint8_t slot, std::uint64_t epoch, time_point now) const = 0;

    /// Time after which a runner must refuse the start; `time_point::max()` if unlimited.
    virtual time_point start_limit(std::uint8_t slot) const = 0;
};

} // namespace chivewharf::dispatch
