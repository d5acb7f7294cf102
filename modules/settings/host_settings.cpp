#include <settings/host_settings.h>

#include <algorithm>
#include <settings/object_reader.h>

namespace chivewharf::settings {

namespace {

using nlohmann::json;
using host = host_settings;

constexpr value_rule path_rule{0, 0, text_rule::path};

constexpr field<host> host_fields[] = {
    {"name", &host::name, true},
    {"domain", &host::domain, true},
    {"caller_address", &host::caller_address, true},
    {"peer_address", &host::peer_address, true},
    {"peer_key", &host::peer_key, true, value_rule{0, 0, text_rule::secret}},
    {"log_directory", &host::log_directory, false, path_rule},
    {"drain_notice_ms", &host::drain_notice, false, value_rule{0, 600'000}},
};

constexpr field<host> caller_fields[] = {
    {"tls_certificate", &host::tls_certificate, false, path_rule},
    {"tls_key", &host::tls_key, false, path_rule},
};

constexpr field<host> platform_fields[] = {
    {"address", &host::platform_address, false, value_rule{1, 65535}},
};

constexpr field<host> site_field{"site", &host::site, true};

/// Top-level key and the fields of its object. `site` is a plain string and has no fields.
struct section {
    std::string_view key;
    bool required;
    std::span<const field<host>> fields;
};

constexpr section sections[] = {
    {"site", true, {}},
    {"host", true, host_fields},
    {"callers", false, caller_fields},
    {"platform", false, platform_fields},
};

} // namespace

result<host_settings, settings_errors> parse_host(const document& local)
{
    error_sink errors{local};
    host parsed;
    const path_node root;
    if (!expect_object(local.value, root, errors))
        return unexpected(errors.take());
    reject_unknown_keys(local.value, root, errors, sections);
    for (const auto& section : sections) {
        const auto found = local.value.find(section.key);
        const auto place = root.at(section.key);
        if (found == local.value.end()) {
            if (section.required)
                errors.add(place, nullptr, "a value");
        }
        else if (section.fields.empty())
            read(*found, place, errors, site_field.rule, parsed.site);
        else
            read_object<host>(*found, place, errors, section.fields, parsed);
    }
    if (parsed.tls_certificate.empty() != parsed.tls_key.empty())
        errors.add(root.at("callers"), nullptr, "tls_certificate and tls_key together");
    if (!errors.empty())
        return unexpected(errors.take());
    return parsed;
}

settings_errors check_host(const host_settings& host, const cluster_settings& cluster,
                           const std::string& file)
{
    settings_errors errors;
    const auto json_text = [](const std::string& text) { return json(text).dump(); };
    if (host.site != cluster.site)
        errors.push_back(
            {file, "site", json_text(host.site), "the published site " + cluster.site});
    const auto configured_host =
        std::find_if(cluster.entry_hosts.begin(), cluster.entry_hosts.end(),
                     [&](const auto& e) { return e.name == host.name; });
    if (configured_host == cluster.entry_hosts.end())
        errors.push_back(
            {file, "host.name", json_text(host.name), "the name of an entry in entry_hosts"});
    else if (configured_host->domain != host.domain)
        errors.push_back({file, "host.domain", json_text(host.domain),
                          "the published domain " + configured_host->domain});
    return errors;
}

} // namespace chivewharf::settings
