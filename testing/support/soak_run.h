#pragma once

#include <functional>
#include <runtime/main_loop.h>
#include <string>

namespace chivewharf::testing_support {

/// Runs a soak with a temporary folder for settings and logs. The folder is removed if the soak
/// passes and `keep` is false.
/// \param run starts the soak, runs the loop and returns the exit code; 0 is a pass
/// \return the exit code of `run`
int run_in_folder(
    unsigned long long seed, bool keep,
    const std::function<int(const std::string& folder, runtime::main_loop& loop)>& run);

/// Returns the first three octets of this process's loopback addresses, with a trailing dot. They
/// are derived from the process id, so that concurrent runs use different networks.
std::string loopback_prefix();

} // namespace chivewharf::testing_support
