#pragma once

#include <nlohmann/json.hpp>
#include <operator_cli/command_line.h>
#include <settings/settings.h>
#include <string>
#include <vector>

namespace chivewharf::operator_cli {

/// A base file and its overlays, which have passed the check together.
struct config_files {
    nlohmann::json base;
    nlohmann::json overlays = nlohmann::json::object(); ///< by site
    settings::endpoint platform_address;                ///< of the first site
};

/// Loads and checks the files.
/// \return the content, or an `invalid` error with one line for each fault of any file
cli_result<config_files> load_files(const std::string& base,
                                    const std::vector<overlay_file>& overlays);

/// Local settings from `--host`.
cli_result<settings::host_settings> load_host_file(const command_line& line);

/// Address of the platform: from `--platform`, the host file or the fallback.
/// \param fallback may be null
/// \return the address, or a `usage` error if none is given
cli_result<std::string> platform_address(const command_line& line,
                                         const settings::endpoint* fallback = nullptr);

/// Caller addresses of the entry hosts: from `--entry` or the host file.
/// \return at least one address, or a `usage` error
cli_result<std::vector<std::string>> entry_addresses(const command_line& line);

/// Value of the `Authorization` header, from the token file.
cli_result<std::string> authorization(const command_line& line);

} // namespace chivewharf::operator_cli
