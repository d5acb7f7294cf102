#pragma once

#include <cstdint>
#include <string>

namespace chivewharf::dispatch {

/// Who this process is among the entry hosts.
struct identity {
    std::string domain;
    std::string host;
    std::uint64_t incarnation = 0; ///< 64 random bits, drawn at each start
};

} // namespace chivewharf::dispatch
