#pragma once

#include <nlohmann/json.hpp>
#include <operator_cli/command_line.h>
#include <settings/settings.h>
#include <string>
#include <vector>

namespace chivewharf::operator_cli {

/// Content of a base file and its overlays, validated together.
struct config_files {
    nlohmann::json base;
    nlohmann::json overlays = nlohmann::json::object(); ///< by site
    settings::endpoint platform_address;                ///< from the settings of the first site
};

/// Loads and validates the files.
/// \return the content, or an `invalid` error with one line for each fault in any of the files
cli_result<config_files> load_config_files(const std::string& base,
                                           const std::vector<overlay_file>& overlays);

/// Loads the local settings of a process from the file given by `--host`.
cli_result<settings::host_settings> load_host_file(const command_line& line);

/// Address of the platform: from `--platform`, else from the host file, else the fallback.
/// \param fallback may be null
/// \return the address, a `usage` error if none is given, or the error of the host file
cli_result<std::string> platform_address(const command_line& line,
                                         const settings::endpoint* fallback = nullptr);

/// Caller addresses of the entry hosts: from `--entry` or the host file.
/// \return at least one address, a `usage` error if none is given, or the error of the host file
cli_result<std::vector<std::string>> entry_addresses(const command_line& line);

/// Value of the `Authorization` header, made from the token file.
cli_result<std::string> authorization(const command_line& line);

} // namespace chivewharf::operator_cli
