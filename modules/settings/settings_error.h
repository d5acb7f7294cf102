#pragma once

#include <string>
#include <vector>

namespace chivewharf::settings {

/// One fault of a settings document.
struct settings_error {
    std::string file;     ///< file that holds the value, after the merge
    std::string key_path; ///< for example `upstreams[3].slots`; empty for the whole document
    std::string value;    ///< the value as JSON, shortened; empty if absent, hidden for secrets
    std::string expected; ///< what would have been accepted

    bool operator==(const settings_error&) const = default;
};

/// All faults found in one pass.
using settings_errors = std::vector<settings_error>;

/// One line for each error: `FILE: KEY_PATH: VALUE: expected EXPECTED`.
std::string to_text(const settings_errors& errors);

} // namespace chivewharf::settings
