#pragma once

#include <base/time.h>
#include <operator_cli/command_line.h>
#include <ostream>

namespace chivewharf::operator_cli {

/// Context of one execution of a subcommand.
struct invocation {
    const command_line& line;
    std::ostream& out;   ///< for the result; errors are returned
    time_point deadline; ///< from `--timeout`
};

} // namespace chivewharf::operator_cli
