#include <settings/fleet_settings.h>

#include <algorithm>
#include <settings/object_reader.h>

namespace chivewharf::settings {

namespace {

using fleet = fleet_settings;

constexpr value_rule port_rule{1, 65535};

constexpr field<fleet> fleet_fields[] = {
    {"host", &fleet::host, true},
    {"domain", &fleet::domain, true},
    {"domains", &fleet::domains, true},
    {"callers", &fleet::callers, true, port_rule},
    {"readiness", &fleet::readiness, true, port_rule},
    {"peers", &fleet::peers, true, port_rule},
    {"advertised", &fleet::advertised, false, port_rule},
    {"store", &fleet::store, true, port_rule},
    {"core_share", &fleet::core_share, false, value_rule{0, 1}},
    {"cores", &fleet::cores, false, value_rule{0, 4096}},
    {"memory_mb", &fleet::memory_mb, false, value_rule{0, 1 << 20}},
    {"metrics_port", &fleet::metrics_port, false, value_rule{0, 65535}},
    {"drain_ms", &fleet::drain_ms, false, value_rule{0, 600'000}},
};

constexpr std::string_view seeds_key = "seeds";

void read_seeds(const nlohmann::json& value, const path_node& place, error_sink& errors,
                std::vector<std::string>& out)
{
    if (!value.is_array()) {
        errors.add(place, &value, "an array of addresses");
        return;
    }
    for (std::size_t i = 0; i < value.size(); ++i) {
        endpoint address;
        read(value[i], place.at(i), errors, port_rule, address);
        if (!address.ip.empty())
            out.push_back(to_text(address));
    }
}

} // namespace

result<fleet_settings, settings_errors> parse_fleet(const document& local)
{
    error_sink errors{local};
    fleet parsed;
    const path_node root;
    if (!expect_object(local.value, root, errors))
        return unexpected(errors.take());
    auto fields = local.value;
    const auto seeds = fields.find(seeds_key);
    if (seeds != fields.end()) {
        read_seeds(*seeds, root.at(seeds_key), errors, parsed.seeds);
        fields.erase(seeds);
    }
    read_object<fleet>(fields, root, errors, fleet_fields, parsed);
    if (errors.empty() && std::find(parsed.domains.begin(), parsed.domains.end(), parsed.domain) ==
                              parsed.domains.end())
        errors.add(root.at("domain"), &local.value["domain"], "one of domains");
    if (!errors.empty())
        return unexpected(errors.take());
    return parsed;
}

} // namespace chivewharf::settings
