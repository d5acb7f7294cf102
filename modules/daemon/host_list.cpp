#include <daemon/host_list.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace chivewharf::daemon {

using nlohmann::json;

namespace {

/// \return false if the field is present and not a string
bool read_text(const json& entry, const char* key, std::string& to)
{
    const auto found = entry.find(key);
    if (found == entry.end())
        return true;
    if (!found->is_string())
        return false;
    to = found->get<std::string>();
    return true;
}

std::optional<listed_host> decode_entry(const json& entry)
{
    listed_host host;
    const bool valid =
        entry.is_object() && read_text(entry, "name", host.name) &&
        read_text(entry, "role", host.role) && read_text(entry, "state", host.state) &&
        read_text(entry, "domain", host.domain) && read_text(entry, "address", host.address);
    if (!valid || host.name.empty())
        return std::nullopt;
    return host;
}

} // namespace

result<host_list, std::string> decode_host_list(std::string_view body)
{
    const auto reply = json::parse(body, nullptr, false);
    if (!reply.is_object())
        return unexpected{std::string{"not a JSON object"}};
    const auto entries = reply.find("hosts");
    if (entries == reply.end() || !entries->is_array())
        return unexpected{std::string{"hosts is missing or no list"}};
    host_list list;
    for (const auto& entry : *entries) {
        if (auto host = decode_entry(entry))
            list.hosts.push_back(std::move(*host));
    }
    const auto as_of = reply.find("as_of_ms");
    if (as_of != reply.end() && as_of->is_number_integer())
        list.as_of = as_of->get<wall_ms>();
    return list;
}

} // namespace chivewharf::daemon
