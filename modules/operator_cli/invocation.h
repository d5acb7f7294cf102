#pragma once

#include <base/time.h>
#include <operator_cli/command_line.h>
#include <ostream>

namespace chivewharf::operator_cli {

/// One run of a command: what was asked, where the result goes and until when it may take.
struct invocation {
    const command_line& line;
    std::ostream& out;
    time_point deadline;
};

} // namespace chivewharf::operator_cli
