#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace chivewharf::operator_cli {

/// Runs `chivewharfctl`.
/// \param arguments the command line without the program's name
/// \return exit code, see `exit_status`
int run_program(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err);

} // namespace chivewharf::operator_cli
