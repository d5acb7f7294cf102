#include <settings/settings_diff.h>

#include <map>
#include <optional>
#include <set>
#include <utility>

namespace chivewharf::settings {

namespace {

using nlohmann::json;
using changes = std::vector<setting_change>;

/// Array elements by name; nullopt unless every element is an object with a distinct name.
std::optional<std::map<std::string, const json*>> by_name(const json& array)
{
    std::map<std::string, const json*> named;
    for (const auto& element : array) {
        if (!element.is_object() || !element.contains("name") || !element["name"].is_string())
            return std::nullopt;
        if (!named.emplace(element["name"].get<std::string>(), &element).second)
            return std::nullopt;
    }
    return named;
}

void compare(const std::string& path, const json& a, const json& b, changes& out);

/// Compares two maps from names to values.
/// \param path_of returns the key path of a name
template <class Map, class Path>
void compare_maps(const Map& a, const Map& b, Path path_of, changes& out)
{
    static const json absent;
    std::set<std::string> names;
    for (const auto& [name, value] : a)
        names.insert(name);
    for (const auto& [name, value] : b)
        names.insert(name);
    for (const auto& name : names) {
        const auto in_a = a.find(name);
        const auto in_b = b.find(name);
        compare(path_of(name), in_a == a.end() ? absent : *in_a->second,
                in_b == b.end() ? absent : *in_b->second, out);
    }
}

std::map<std::string, const json*> members(const json& object)
{
    std::map<std::string, const json*> found;
    for (const auto& item : object.items())
        found.emplace(item.key(), &item.value());
    return found;
}

void compare(const std::string& path, const json& a, const json& b, changes& out)
{
    if (a == b)
        return;
    if (a.is_object() && b.is_object()) {
        const auto path_of = [&path](const std::string& key) {
            return path.empty() ? key : path + '.' + key;
        };
        return compare_maps(members(a), members(b), path_of, out);
    }
    if (a.is_array() && b.is_array()) {
        const auto named_a = by_name(a);
        const auto named_b = by_name(b);
        const auto path_of = [&path](const std::string& name) { return path + '[' + name + ']'; };
        const auto before = out.size();
        if (named_a && named_b)
            compare_maps(*named_a, *named_b, path_of, out);
        // Arrays without distinct names, and arrays that differ only in their order, are reported
        // as a whole.
        if (out.size() != before)
            return;
    }
    out.push_back({path, a, b});
}

void add_if_changed(changes& out, std::string path, json a, json b)
{
    if (a != b)
        out.push_back({std::move(path), std::move(a), std::move(b)});
}

/// Durations that govern ids and their ownership. All processes must use the same values.
constexpr std::pair<const char*, duration policy_settings::*> fixed_durations[] = {
    {"id_lifetime_ms", &policy_settings::id_lifetime},
    {"lease_ms", &policy_settings::lease},
    {"lease_renew_ms", &policy_settings::lease_renew},
    {"claim_margin_ms", &policy_settings::claim_margin},
    {"promise_ms", &policy_settings::promise},
    {"promise_renew_ms", &policy_settings::promise_renew},
    {"unreadable_log_limit_ms", &policy_settings::unreadable_log_limit},
    {"new_seat_wait_ms", &policy_settings::new_host_wait},
};

/// Key path of a field in the local file and a function that returns its value for display.
struct host_field {
    const char* path;
    json (*to_display)(const host_settings&);
};

constexpr host_field host_fields[] = {
    {"site", [](const host_settings& h) { return json(h.site); }},
    {"host.name", [](const host_settings& h) { return json(h.name); }},
    {"host.domain", [](const host_settings& h) { return json(h.domain); }},
    {"host.caller_address", [](const host_settings& h) { return json(to_text(h.caller_address)); }},
    {"host.peer_address", [](const host_settings& h) { return json(to_text(h.peer_address)); }},
    // Shown as a digest, because the key itself must not appear in logs.
    {"host.peer_key",
     [](const host_settings& h) {
         const auto digest = sha256(h.peer_key);
         return json("sha256:" + to_hex(digest.data(), 4));
     }},
    {"host.log_directory", [](const host_settings& h) { return json(h.log_directory); }},
    {"callers.tls_certificate", [](const host_settings& h) { return json(h.tls_certificate); }},
    {"callers.tls_key", [](const host_settings& h) { return json(h.tls_key); }},
    {"platform.address",
     [](const host_settings& h) {
         return h.platform_address ? json(to_text(*h.platform_address)) : json();
     }},
};

} // namespace

std::vector<setting_change> diff(const json& old_value, const json& new_value)
{
    changes found;
    compare("", old_value, new_value, found);
    return found;
}

std::vector<setting_change> changes_needing_restart(const cluster_settings& old_settings,
                                                    const cluster_settings& new_settings)
{
    changes found;
    add_if_changed(found, "site", old_settings.site, new_settings.site);
    add_if_changed(found, "key_domains", old_settings.key_domains, new_settings.key_domains);
    // Hosts with different durations would disagree on when a lease has expired.
    for (const auto& [key, member] : fixed_durations)
        add_if_changed(found, std::string{"policy."} + key, to_ms(old_settings.policy.*member),
                       to_ms(new_settings.policy.*member));
    add_if_changed(found, "policy.clock_drift", old_settings.policy.clock_drift,
                   new_settings.policy.clock_drift);
    std::map<std::string, const entry_host_settings*> old_hosts;
    for (const auto& host : old_settings.entry_hosts)
        old_hosts.emplace(host.name, &host);
    for (const auto& host : new_settings.entry_hosts) {
        const auto old_host = old_hosts.find(host.name);
        if (old_host == old_hosts.end())
            continue;
        const auto path = "entry_hosts[" + host.name + "].";
        add_if_changed(found, path + "domain", old_host->second->domain, host.domain);
        add_if_changed(found, path + "peer_address", to_text(old_host->second->peer_address),
                       to_text(host.peer_address));
    }
    return found;
}

std::vector<setting_change> changes_needing_restart(const host_settings& old_settings,
                                                    const host_settings& new_settings)
{
    changes found;
    for (const auto& field : host_fields)
        add_if_changed(found, field.path, field.to_display(old_settings),
                       field.to_display(new_settings));
    return found;
}

} // namespace chivewharf::settings
