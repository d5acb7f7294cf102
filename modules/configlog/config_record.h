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

/// Largest record that the platform's log accepts, in bytes.
inline constexpr std::size_t max_record_bytes = 1 << 20;

enum class configlog_errc : std::uint8_t {
    malformed,       ///< the record is not one of the two forms
    too_large,       ///< more than `max_record_bytes`
    conflict,        ///< another version is in force than the one expected
    content_invalid, ///< the settings do not pass the check
    fixed_setting,   ///< the change needs a restart of every process
    not_newer,       ///< the version in force is at least as high
    site_missing,    ///< the record does not hold the settings of this site
    publish_pending, ///< an earlier publication is not decided
};

struct configlog_error {
    configlog_errc code;
    std::string message;
};

/// One record: a publication, or a republication of the version in force, which keeps the record
/// inside the retention of the log.
struct config_record {
    std::string record_id; ///< unique for each record; recognises a copy after a lost answer
    bool republication = false;
    std::int64_t version = 0;
    std::int64_t based_on = 0; ///< version - 1 in a publication; 0 in a republication
    std::string original_id;   ///< record id of the publication; empty in a publication
    std::string author;
    nlohmann::json settings; ///< base document
    nlohmann::json overlays; ///< overlay of each site, by site name

    /// Record id of the publication of this version.
    const std::string& publication_id() const { return republication ? original_id : record_id; }

    bool same_content(const config_record& other) const
    {
        return settings == other.settings && overlays == other.overlays;
    }
};

/// Canonical JSON text. Equal records have equal text.
std::string encode(const config_record& record);

/// Reads a record. Unknown keys, duplicate keys and wrong types are `malformed`. The content is not
/// checked; see `check_content`.
result<config_record, configlog_error> decode(std::string_view data);

/// Settings of one site. Errors name the base `settings` and the overlay `overlays.SITE` as files.
result<settings::cluster_settings, settings::settings_errors>
settings_for(const config_record& record, const std::string& site);

/// Settings of the sites of a record, by site name. Parsing takes tens of milliseconds at the
/// design size, so the result is kept with the record and shared.
using site_settings = std::map<std::string, settings::cluster_settings>;
using site_settings_ptr = std::shared_ptr<const site_settings>;

/// Parses the settings of all sites; the base alone if there is no overlay. The result depends only
/// on the record, so all readers come to the same verdict.
/// \return the settings, or the faults of all sites
result<site_settings_ptr, settings::settings_errors> parse_sites(const config_record& record);

/// Faults of the settings of all sites.
settings::settings_errors check_content(const config_record& record);

/// A record that passed the check and its settings.
struct parsed_record {
    const config_record& record;
    const site_settings& sites; ///< of `parse_sites`
};

/// Changes of fixed settings in the sites that both records hold.
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
