#pragma once

#include <functional>
#include <runtime/main_loop.h>
#include <string>

namespace chivewharf::testing_support {

/// Runs a soak with a folder of its own for settings and logs. The folder is removed after a pass,
/// unless it is to be kept.
/// \param play starts the soak and runs the loop
/// \return the exit code of `play`
int run_in_folder(
    unsigned long long seed, bool keep,
    const std::function<int(const std::string& folder, runtime::main_loop& loop)>& play);

/// First three parts of the loopback addresses of this process, with a dot at the end. Runs that
/// are in progress at the same time use networks of their own.
std::string own_network();

} // namespace chivewharf::testing_support
