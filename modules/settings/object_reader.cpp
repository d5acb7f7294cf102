#include <settings/object_reader.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>

namespace chivewharf::settings {

namespace {

using nlohmann::json;

constexpr std::size_t max_value_bytes = 80;

std::vector<const path_node*> nodes_from_root(const path_node& path)
{
    std::vector<const path_node*> nodes;
    for (const auto* node = &path; node->parent != nullptr; node = node->parent)
        nodes.push_back(node);
    std::reverse(nodes.begin(), nodes.end());
    return nodes;
}

std::string path_text(const std::vector<const path_node*>& nodes)
{
    std::string text;
    for (const auto* node : nodes) {
        if (node->is_index)
            text += '[' + std::to_string(node->index) + ']';
        else
            (text += text.empty() ? "" : ".") += node->key;
    }
    return text;
}

/// True if the source defines the value at the path. An array always comes from a single source as
/// a whole.
bool defines(const json& source, const std::vector<const path_node*>& nodes)
{
    const json* at = &source;
    for (const auto* node : nodes) {
        if (at->is_array())
            return true;
        const auto found = at->is_object() ? at->find(node->key) : at->end();
        if (found == at->end())
            return false;
        at = &*found;
    }
    return true;
}

std::string shortened_json(const json& value)
{
    auto text = value.dump(-1, ' ', true, json::error_handler_t::replace);
    if (text.size() > max_value_bytes)
        text = text.substr(0, max_value_bytes) + "...";
    return text;
}

settings_error error_at(const document& merged, const path_node& path, std::string value,
                        std::string expected)
{
    const auto nodes = nodes_from_root(path);
    std::string file = merged.sources.empty() ? "" : merged.sources.front().file;
    for (const auto& source : merged.sources) {
        if (defines(source.value, nodes))
            file = source.file;
    }
    return {std::move(file), path_text(nodes), std::move(value), std::move(expected)};
}

std::string number_text(double value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.15g", value);
    return text;
}

std::string range_text(const char* kind, const value_rule& r)
{
    return std::string{kind} + " from " + number_text(r.low) + " to " + number_text(r.high);
}

bool in_range(double value, const value_rule& r)
{
    return value >= r.low && value <= r.high;
}

bool is_name(std::string_view text)
{
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
               c == '-' || c == '_';
    };
    return !text.empty() && text.size() <= 63 && std::all_of(text.begin(), text.end(), allowed);
}

bool is_path(std::string_view text)
{
    return !text.empty() && text.size() < 4096 && text.find('\0') == std::string_view::npos;
}

bool is_secret(std::string_view text)
{
    return text.size() >= 16 && text.size() <= 256;
}

/// Predicate and description of each `text_rule`, in the order of the enumerators.
struct text_check {
    bool (*accepts)(std::string_view);
    const char* expected;
};

constexpr text_check text_checks[] = {
    {is_name, "a name of 1 to 63 letters, digits, '-' and '_'"},
    {is_path, "a path of 1 to 4095 bytes"},
    {is_secret, "a secret of 16 to 256 bytes"},
};

bool read_digest(std::string_view text, sha256_digest& out)
{
    if (text.size() != out.size() * 2)
        return false;
    for (std::size_t i = 0; i < out.size(); ++i) {
        const char* begin = text.data() + i * 2;
        if (const auto parsed = std::from_chars(begin, begin + 2, out[i], 16);
            parsed.ec != std::errc{} || parsed.ptr != begin + 2)
            return false;
    }
    return true;
}

} // namespace

void error_sink::add(const path_node& path, const json* value, std::string expected)
{
    auto text = value == nullptr ? std::string{} : shortened_json(*value);
    errors_.push_back(error_at(merged_, path, std::move(text), std::move(expected)));
}

void error_sink::add_hidden(const path_node& path, std::string expected)
{
    errors_.push_back(error_at(merged_, path, "(hidden)", std::move(expected)));
}

void read(json_ref v, const path_node& p, error_sink& e, const value_rule& r, std::int64_t& out)
{
    // The range is checked as a double, because an unsigned value above 2^63 would wrap.
    if (!v.is_number_integer() || !in_range(v.get<double>(), r))
        return e.add(p, &v, range_text("an integer", r));
    out = v.get<std::int64_t>();
}

void read(json_ref v, const path_node& p, error_sink& e, const value_rule& r, double& out)
{
    if (!v.is_number() || !in_range(v.get<double>(), r))
        return e.add(p, &v, range_text("a number", r));
    out = v.get<double>();
}

void read(json_ref v, const path_node& p, error_sink& e, const value_rule&, bool& out)
{
    if (!v.is_boolean())
        return e.add(p, &v, "true or false");
    out = v.get<bool>();
}

void read(json_ref v, const path_node& p, error_sink& e, const value_rule& r, std::string& out)
{
    const auto& check = text_checks[static_cast<std::size_t>(r.text)];
    if (v.is_string() && check.accepts(v.get_ref<const std::string&>()))
        out = v.get<std::string>();
    else if (r.text == text_rule::secret)
        e.add_hidden(p, check.expected);
    else
        e.add(p, &v, check.expected);
}

void read(json_ref v, const path_node& p, error_sink& e, const value_rule& r, duration& out)
{
    std::int64_t ms = to_ms(out);
    read(v, p, e, r, ms);
    out = milliseconds{ms};
}

void read(json_ref v, const path_node& p, error_sink& e, const value_rule& r, endpoint& out)
{
    const auto parsed =
        v.is_string() ? parse_endpoint(v.get_ref<const std::string&>()) : std::nullopt;
    if (!parsed || parsed->port < r.low)
        return e.add(p, &v, "an IP address and port such as 10.0.0.1:8080 or [fd00::1]:8080");
    out = *parsed;
}

void read(json_ref v, const path_node& p, error_sink& e, const value_rule& r,
          std::optional<endpoint>& out)
{
    endpoint address;
    read(v, p, e, r, address);
    if (!address.ip.empty())
        out = address;
}

void read(json_ref v, const path_node& p, error_sink& e, const value_rule&, sha256_digest& out)
{
    // The value is hidden, because a common mistake is to enter the token itself.
    if (!v.is_string() || !read_digest(v.get_ref<const std::string&>(), out))
        e.add_hidden(p, "the SHA-256 of the token as 64 hexadecimal digits");
}

void read(json_ref v, const path_node& p, error_sink& e, const value_rule& r,
          std::vector<std::string>& out)
{
    if (!v.is_array() || v.empty())
        return e.add(p, &v, "an array of at least one name");
    out.assign(v.size(), {});
    for (std::size_t i = 0; i < out.size(); ++i)
        read(v[i], p.at(i), e, r, out[i]);
}

void read(json_ref v, const path_node& p, error_sink& e, const value_rule& r,
          std::map<std::string, double>& out)
{
    if (!expect_object(v, p, e))
        return;
    for (const auto& item : v.items())
        read(item.value(), p.at(item.key()), e, r, out[item.key()]);
}

bool expect_object(json_ref value, const path_node& path, error_sink& errors)
{
    if (!value.is_object())
        errors.add(path, &value, "an object");
    return value.is_object();
}

} // namespace chivewharf::settings
