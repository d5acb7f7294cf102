#include <configlog/config_record.h>

namespace chivewharf::configlog {

namespace {

using nlohmann::json;

// Versions above 2^53 would lose digits in JSON readers that use doubles.
constexpr std::int64_t max_version = std::int64_t{1} << 53;

constexpr std::string_view publication_keys[] = {"record_id", "version",  "based_on",
                                                 "author",    "settings", "overlays"};
constexpr std::string_view republication_keys[] = {"record_id", "republish", "original_id",
                                                   "author",    "settings",  "overlays"};

auto malformed(std::string message)
{
    return unexpected(configlog_error{configlog_errc::malformed, std::move(message)});
}

template <class Keys>
bool has_exactly_keys(const json& object, const Keys& keys)
{
    for (const auto key : keys) {
        if (!object.contains(key))
            return false;
    }
    return object.size() == std::size(keys);
}

bool is_id(const json& value)
{
    return value.is_string() && !value.get_ref<const std::string&>().empty() &&
           value.get_ref<const std::string&>().size() <= 128;
}

bool is_version(const json& value)
{
    return value.is_number_integer() && value >= 0 && value <= max_version;
}

std::vector<std::string> overlay_sites(const config_record& record)
{
    std::vector<std::string> sites;
    for (const auto& item : record.overlays.items())
        sites.push_back(item.key());
    return sites;
}

settings::document merged_document(const config_record& record, const std::string& site)
{
    auto base = settings::make_document(record.settings, "settings");
    const auto overlay = record.overlays.find(site);
    if (overlay == record.overlays.end())
        return base;
    return settings::merge(std::move(base), settings::make_document(*overlay, "overlays." + site));
}

} // namespace

std::string encode(const config_record& record)
{
    json value{{"record_id", record.record_id},
               {"author", record.author},
               {"settings", record.settings},
               {"overlays", record.overlays}};
    if (record.republication) {
        value["republish"] = record.version;
        value["original_id"] = record.original_id;
    }
    else {
        value["version"] = record.version;
        value["based_on"] = record.based_on;
    }
    return settings::canonical_text(value);
}

result<config_record, configlog_error> decode(std::string_view data)
{
    if (data.size() > max_record_bytes)
        return unexpected(configlog_error{configlog_errc::too_large,
                                          "a record of " + std::to_string(data.size()) + " bytes"});
    auto parsed = settings::parse_text(data, "record");
    if (!parsed)
        return malformed(settings::to_text(parsed.error()));
    auto& value = parsed->value;
    const bool republication = value.is_object() && value.contains("republish");
    if (!value.is_object() || !(republication ? has_exactly_keys(value, republication_keys)
                                              : has_exactly_keys(value, publication_keys)))
        return malformed("the keys are those of neither a publication nor a republication");
    if (!is_id(value["record_id"]) || !value["author"].is_string() ||
        !value["settings"].is_object() || !value["overlays"].is_object())
        return malformed("record_id, author, settings or overlays has a wrong type");

    config_record record;
    record.republication = republication;
    const char* version_key = republication ? "republish" : "version";
    if (!is_version(value[version_key]) || value[version_key] == 0)
        return malformed("the version is not a positive integer");
    record.version = value[version_key].get<std::int64_t>();
    if (republication) {
        if (!is_id(value["original_id"]))
            return malformed("original_id has a wrong type");
        record.original_id = value["original_id"].get<std::string>();
    }
    else {
        if (!is_version(value["based_on"]) || value["based_on"] != record.version - 1)
            return malformed("based_on is not version - 1");
        record.based_on = record.version - 1;
    }
    record.record_id = value["record_id"].get<std::string>();
    record.author = value["author"].get<std::string>();
    record.settings = std::move(value["settings"]);
    record.overlays = std::move(value["overlays"]);
    return record;
}

result<settings::cluster_settings, settings::settings_errors>
settings_for(const config_record& record, const std::string& site)
{
    auto parsed = settings::parse_cluster(merged_document(record, site));
    if (parsed && parsed->site != site)
        return unexpected(settings::settings_errors{
            {"overlays." + site, "site", '"' + parsed->site + '"', "the site " + site}});
    return parsed;
}

result<site_settings_ptr, settings::settings_errors> parse_sites(const config_record& record)
{
    settings::settings_errors errors;
    auto sites = std::make_shared<site_settings>();
    const auto add = [&](auto parsed) {
        if (!parsed)
            errors.insert(errors.end(), parsed.error().begin(), parsed.error().end());
        else
            sites->insert_or_assign(parsed->site, std::move(*parsed));
    };
    for (const auto& site : overlay_sites(record))
        add(settings_for(record, site));
    if (record.overlays.empty())
        add(settings::parse_cluster(merged_document(record, "")));
    if (!errors.empty())
        return unexpected(std::move(errors));
    return sites;
}

settings::settings_errors check_content(const config_record& record)
{
    auto parsed = parse_sites(record);
    return parsed ? settings::settings_errors{} : std::move(parsed.error());
}

std::vector<settings::setting_change> fixed_changes(const parsed_record& before,
                                                    const parsed_record& after)
{
    std::vector<settings::setting_change> found;
    for (const auto& [site, new_settings] : after.sites) {
        const auto old_site = before.sites.find(site);
        // The base settings may name the site even if the record has no overlay for it.
        auto from_base = old_site == before.sites.end()
                             ? settings_for(before.record, site)
                             : result<settings::cluster_settings, settings::settings_errors>{};
        const auto* old_settings = old_site == before.sites.end()
                                       ? (from_base ? &*from_base : nullptr)
                                       : &old_site->second;
        if (old_settings == nullptr)
            continue;
        const auto changes = settings::changes_needing_restart(*old_settings, new_settings);
        found.insert(found.end(), changes.begin(), changes.end());
    }
    return found;
}

} // namespace chivewharf::configlog
