#pragma once

#include <base/enum_names.h>
#include <base/result.h>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <settings/settings.h>
#include <string>
#include <string_view>

namespace chivewharf::configlog {

/// Max size of a record that the platform's log accepts, in bytes.
inline constexpr std::size_t max_record_bytes = 1 << 20;

enum class configlog_errc : std::uint8_t {
    malformed,       ///< the data is neither a publication nor a republication
    too_large,       ///< more than `max_record_bytes`
    conflict,        ///< the version in force is not the expected one
    content_invalid, ///< the settings are invalid
    fixed_setting,   ///< the change requires a restart of all processes
    not_newer,       ///< the version in force is the same or higher
    site_missing,    ///< the record has no settings for this site
    publish_pending, ///< the result of an earlier publication is not known yet
};

struct configlog_error {
    configlog_errc code;
    std::string message;
};

/// A record of the configuration stream: a publication, or a republication of the version in force,
/// which keeps that version from being removed by the retention of the log.
struct config_record {
    std::string record_id; ///< unique; identifies copies that a retry after a lost response wrote
    bool republication = false;
    std::int64_t version = 0;
    std::int64_t based_on = 0; ///< version - 1 in a publication; 0 in a republication
    std::string original_id;   ///< record id of the publication; empty in a publication
    std::string author;
    nlohmann::json settings; ///< base document
    nlohmann::json overlays; ///< overlays by site name

    /// Record id of the publication of this version.
    const std::string& publication_id() const { return republication ? original_id : record_id; }

    bool same_content(const config_record& other) const
    {
        return settings == other.settings && overlays == other.overlays;
    }
};

/// Encodes the record as canonical JSON. Equal records have equal text.
std::string encode(const config_record& record);

/// Decodes a record. Unknown keys, duplicate keys and wrong types are `malformed`. The settings are
/// not checked; see `check_content`.
result<config_record, configlog_error> decode(std::string_view data);

/// Parses the settings of one site. The file name in an error is `settings` for the base and
/// `overlays.SITE` for the overlay.
result<settings::cluster_settings, settings::settings_errors>
settings_for(const config_record& record, const std::string& site);

/// Parsed settings of a record by site name. Parsing takes tens of milliseconds at the design size,
/// so the result is stored with the record and shared.
using site_settings = std::map<std::string, settings::cluster_settings>;
using site_settings_ptr = std::shared_ptr<const site_settings>;

/// Parses the settings of all sites, or only the base if there are no overlays. The result depends
/// only on the record, so all readers reach the same verdict.
/// \return the settings, or the errors of all sites
result<site_settings_ptr, settings::settings_errors> parse_sites(const config_record& record);

/// Returns the errors in the settings of all sites; empty if the settings are valid.
settings::settings_errors check_content(const config_record& record);

/// A valid record and its parsed settings.
struct parsed_record {
    const config_record& record;
    const site_settings& sites; ///< result of `parse_sites`
};

/// Changes of settings that cannot be changed at run time, in the sites that both records have.
std::vector<settings::setting_change> fixed_changes(const parsed_record& before,
                                                    const parsed_record& after);

} // namespace chivewharf::configlog

namespace chivewharf {

template <>
struct enum_names<configlog::configlog_errc> {
    static constexpr std::array<std::string_view, 8> names{
        "malformed",     "too_large", "conflict",     "content_invalid",
        "fixed_setting", "not_newer", "site_missing", "publish_pending"};
};

} // namespace chivewharf
