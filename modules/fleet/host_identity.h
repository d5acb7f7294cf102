#pragma once

#include <cstdint>
#include <string>

namespace chivewharf::fleet {

/// Identity of a host process.
struct host_identity {
    std::string host;
    std::string domain;
    std::string address;               ///< where other hosts reach it
    std::uint64_t incarnation = 0;     ///< random number of this process
    std::uint32_t processor_milli = 0; ///< available processor time, thousandths of a core
};

} // namespace chivewharf::fleet
