#pragma once

#include <map>
#include <string>

namespace chivewharf::testing_support {

/// Parses the `--name value` options of a test program. Prints the usage and exits with 2 on any
/// argument that is not in `defaults`.
/// \return the value of each option, or its default
std::map<std::string, std::string> read_options(int argc, char** argv,
                                                const std::map<std::string, std::string>& defaults);

} // namespace chivewharf::testing_support
