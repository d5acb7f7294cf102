#pragma once

#include <map>
#include <string>

namespace chivewharf::testing_support {

/// Reads `--name value` pairs of a test program. Prints a message and exits with 2 on anything
/// that is not in the table of defaults.
std::map<std::string, std::string> read_options(int argc, char** argv,
                                                const std::map<std::string, std::string>& defaults);

} // namespace chivewharf::testing_support
