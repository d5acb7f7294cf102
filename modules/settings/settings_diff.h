#pragma once

#include <nlohmann/json.hpp>
#include <settings/cluster_settings.h>
#include <settings/host_settings.h>
#include <string>
#include <vector>

namespace chivewharf::settings {

/// A difference between two documents. Absent values are null.
struct setting_change {
    std::string key_path; ///< named array elements appear by name: `upstreams[w-1].slots`
    nlohmann::json old_value;
    nlohmann::json new_value;

    bool operator==(const setting_change&) const = default;
};

/// Differences in key order. Arrays in which every element has a distinct name are compared by
/// name, so that removing a worker is a single change. Other arrays are compared as a whole.
std::vector<setting_change> diff(const nlohmann::json& old_value, const nlohmann::json& new_value);

/// Changes that a running process cannot apply: `site`, `key_domains` (ids in use would change
/// their home domain), the policy values on which all processes must agree (durations
/// of ids and slot ownership, clock drift), and the domain and peer address of an entry host that
/// is in both.
std::vector<setting_change> changes_needing_restart(const cluster_settings& old_settings,
                                                    const cluster_settings& new_settings);

/// Changes of the local file that a running process cannot apply: all except `drain_notice_ms`.
std::vector<setting_change> changes_needing_restart(const host_settings& old_settings,
                                                    const host_settings& new_settings);

} // namespace chivewharf::settings
