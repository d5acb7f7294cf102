#include <settings/document.h>

#include <fstream>
#include <iterator>
#include <set>

namespace chivewharf::settings {

namespace {

using nlohmann::json;

/// Parser callback that reports duplicate keys, of which the parser silently keeps the last, and
/// excessive nesting.
class structure_check {
public:
    explicit structure_check(const std::string& file) : file_(file) {}

    bool on_event(json::parse_event_t event, const json& parsed)
    {
        if (too_deep_)
            return false;
        switch (event) {
        case json::parse_event_t::object_start:
        case json::parse_event_t::array_start:
            return enter(event == json::parse_event_t::array_start);
        case json::parse_event_t::key:
            return on_key(parsed.get_ref<const std::string&>());
        case json::parse_event_t::value:
            count_element();
            return true;
        default:
            frames_.pop_back();
            return true;
        }
    }

    settings_errors take_errors() { return std::move(errors_); }

private:
    struct frame {
        bool is_array = false;
        std::size_t elements = 0;
        std::string key;
        std::set<std::string> keys;
    };

    void count_element()
    {
        if (!frames_.empty())
            ++frames_.back().elements;
    }

    bool enter(bool is_array)
    {
        count_element();
        if (frames_.size() == max_document_depth) {
            too_deep_ = true;
            errors_.push_back(
                {file_, path(), "", "nesting of at most " + std::to_string(max_document_depth)});
            return false;
        }
        frames_.push_back({is_array, 0, {}, {}});
        return true;
    }

    bool on_key(const std::string& key)
    {
        auto& top = frames_.back();
        top.key = key;
        if (!top.keys.insert(key).second)
            errors_.push_back({file_, path(), '"' + key + '"', "each key once in an object"});
        return true;
    }

    std::string path() const
    {
        std::string text;
        for (const auto& f : frames_) {
            if (f.is_array)
                text += '[' + std::to_string(f.elements - 1) + ']';
            else
                text += (text.empty() ? "" : ".") + f.key;
        }
        return text;
    }

    const std::string& file_;
    std::vector<frame> frames_;
    settings_errors errors_;
    bool too_deep_ = false;
};

settings_errors single_error(const std::string& file, std::string value, std::string expected)
{
    return {settings_error{file, "", std::move(value), std::move(expected)}};
}

} // namespace

result<document, settings_errors> parse_text(std::string_view text, std::string file)
{
    structure_check check{file};
    const auto callback = [&check](int, json::parse_event_t event, json& parsed) {
        return check.on_event(event, parsed);
    };
    json value;
    try {
        value = json::parse(text.begin(), text.end(), callback, true, true);
    }
    catch (const json::exception& fault) {
        return unexpected(single_error(file, fault.what(), "JSON with comments"));
    }
    if (auto errors = check.take_errors(); !errors.empty())
        return unexpected(std::move(errors));
    return make_document(std::move(value), std::move(file));
}

result<document, settings_errors> load_file(const std::string& path)
{
    std::ifstream in{path, std::ios::binary};
    const std::string text{std::istreambuf_iterator<char>{in}, std::istreambuf_iterator<char>{}};
    if (!in.is_open() || in.bad())
        return unexpected(single_error(path, "unreadable", "a readable file"));
    return parse_text(text, path);
}

document make_document(json value, std::string file)
{
    document made;
    made.sources.push_back({std::move(file), value});
    made.value = std::move(value);
    return made;
}

document merge(document base, const document& overlay)
{
    base.value.merge_patch(overlay.value);
    base.sources.insert(base.sources.end(), overlay.sources.begin(), overlay.sources.end());
    return base;
}

std::string canonical_text(const json& value)
{
    return value.dump();
}

} // namespace chivewharf::settings
