#pragma once

#include <string>
#include <vector>

namespace chivewharf::settings {

/// An error in a settings document.
struct settings_error {
    std::string file;     ///< file that defines the value in the merged document
    std::string key_path; ///< such as `upstreams[3].slots`; empty for the whole document
    std::string value;    ///< the value as JSON, shortened; empty if absent, hidden for secrets
    std::string expected; ///< description of the accepted values

    bool operator==(const settings_error&) const = default;
};

/// All errors found in one pass.
using settings_errors = std::vector<settings_error>;

/// One line for each error: `FILE: KEY_PATH: VALUE: expected EXPECTED`.
std::string to_text(const settings_errors& errors);

} // namespace chivewharf::settings
