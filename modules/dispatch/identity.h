#pragma once

#include <cstdint>
#include <string>

namespace chivewharf::dispatch {

/// Identifies this process among the entry hosts.
struct identity {
    std::string domain;
    std::string host;
    std::uint64_t incarnation = 0; ///< random 64-bit number chosen at each process start
};

} // namespace chivewharf::dispatch
