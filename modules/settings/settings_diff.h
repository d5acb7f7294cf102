#pragma once

#include <nlohmann/json.hpp>
#include <settings/cluster_settings.h>
#include <settings/host_settings.h>
#include <string>
#include <vector>

namespace chivewharf::settings {

/// One difference between two documents. An absent value is null.
struct setting_change {
    std::string key_path; ///< elements with a name are shown by it: `upstreams[w-1].slots`
    nlohmann::json old_value;
    nlohmann::json new_value;

    bool operator==(const setting_change&) const = default;
};

/// Differences in the order of the keys. Arrays whose elements all have a distinct name are
/// compared by name, so a removed worker is one change; other arrays are compared as a whole.
std::vector<setting_change> diff(const nlohmann::json& old_value, const nlohmann::json& new_value);

/// Changes that a running process cannot apply: `site`, `key_domains` (the home domain of ids in
/// use would move), and the domain and peer address of an entry host that stays.
std::vector<setting_change> changes_needing_restart(const cluster_settings& old_settings,
                                                    const cluster_settings& new_settings);

/// Changes of the local file that a running process cannot apply: all but `drain_notice_ms`.
std::vector<setting_change> changes_needing_restart(const host_settings& old_settings,
                                                    const host_settings& new_settings);

} // namespace chivewharf::settings
