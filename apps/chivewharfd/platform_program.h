#pragma once

#include <string>

namespace chivewharf {

inline constexpr int exit_invalid_settings = 3;

/// Runs the daemon on the users' platform.
/// \param program name of the program, for the log library
/// \param file settings file; if empty, the environment variable CHIVEWHARF_BOOT names it
/// \param check_only whether to return after checking the settings
/// \return exit code: 0 planned stop, 1 failure, 3 invalid settings
int run_on_platform(const char* program, const std::string& file, bool check_only);

} // namespace chivewharf
