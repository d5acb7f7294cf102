#pragma once

#include <cstdint>

namespace chivewharf {

/// Sends all log lines to standard output in non-blocking mode, so that a slow reader never delays
/// the process. Lines that do not fit into the pipe are dropped and counted. Call it once, before
/// the first log line.
/// \param program program name for glog
void log_to_standard_output(const char* program);

/// Number of log lines dropped since the process started.
std::uint64_t dropped_log_lines() noexcept;

} // namespace chivewharf
