#pragma once

#include <cstdint>

namespace chivewharf {

/// Sends all log lines to standard output without ever waiting for its reader. Lines that do not
/// fit into the pipe are dropped and counted. Call it once, before the first line. \param program
/// name for the log library
void log_to_standard_output(const char* program);

/// Lines that were dropped since the start.
std::uint64_t dropped_log_lines() noexcept;

} // namespace chivewharf
