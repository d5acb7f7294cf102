#include <operator_cli/config_commands.h>

#include <algorithm>
#include <base/digest.h>
#include <cstdlib>
#include <ctime>
#include <operator_cli/config_files.h>
#include <operator_cli/platform_log.h>
#include <operator_cli/text_table.h>
#include <random>

namespace chivewharf::operator_cli {

using nlohmann::json;

namespace {

/// `2026-12-04T07:12:10Z`
std::string utc_text(wall_ms time)
{
    const auto whole = static_cast<std::time_t>(time / 1000);
    std::tm parts{};
    gmtime_r(&whole, &parts);
    char text[32];
    const auto size = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &parts);
    return {text, size};
}

std::string new_record_id()
{
    std::random_device source;
    const auto number = [&source] { return (std::uint64_t{source()} << 32U) | source(); };
    return "ctl-" + to_hex(number()) + to_hex(number());
}

std::string author_of(const command_line& line)
{
    if (!line.author.empty())
        return line.author;
    const char* user = std::getenv("USER");
    return user == nullptr || *user == '\0' ? "unknown" : user;
}

cli_result<configlog::config_history> read_history(const invocation& self)
{
    const auto address = platform_address(self.line);
    if (!address)
        return unexpected(address.error());
    configlog::config_history read;
    platform_log log{*address, self.deadline};
    if (auto done = log.read_to_end(read); !done)
        return unexpected(done.error());
    return read;
}

auto nothing_published()
{
    return unexpected(operator_cli_error{exit_status::failed, "no configuration is in force"});
}

std::string shown(const json& value)
{
    return value.is_null() ? "absent" : value.dump();
}

json to_json(const settings::setting_change& change, const std::string& part)
{
    return {{"part", part},
            {"key", change.key_path},
            {"old", change.old_value},
            {"new", change.new_value}};
}

json to_json(const configlog::history_entry& entry)
{
    return {{"offset", entry.offset},   {"time_ms", entry.time},
            {"version", entry.version}, {"record_id", entry.record_id},
            {"author", entry.author},   {"verdict", to_name(entry.decision)},
            {"detail", entry.detail}};
}

} // namespace

cli_result<void> check(const invocation& self)
{
    const auto& names = self.line.operands;
    std::vector<overlay_file> overlays;
    std::for_each(names.begin() + 1, names.end(), [&overlays](const auto& one) {
        overlays.push_back({one, one});
    });
    if (const auto files = load_files(names.front(), overlays); !files)
        return unexpected(files.error());
    if (self.line.json)
        self.out << json{{"valid", true}}.dump() << '\n';
    else
        self.out << "the settings are valid\n";
    return {};
}

cli_result<void> show(const invocation& self)
{
    const auto read = read_history(self);
    if (!read)
        return unexpected(read.error());
    const auto* current = read->in_force();
    if (current == nullptr)
        return nothing_published();
    const auto& record = current->record;
    if (self.line.json) {
        self.out << json{{"version", record.version},
                         {"author", record.author},
                         {"record_id", record.publication_id()},
                         {"time_ms", current->time},
                         {"settings", record.settings},
                         {"overlays", record.overlays}}
                        .dump()
                 << '\n';
        return {};
    }
    self.out << "version:  " << record.version << "\nauthor:   " << record.author
             << "\nrecord:   " << record.publication_id()
             << "\nappended: " << utc_text(current->time) << "\n\nsettings\n"
             << record.settings.dump(2) << '\n';
    for (const auto& [site, overlay] : record.overlays.items())
        self.out << "\noverlay of " << site << '\n' << overlay.dump(2) << '\n';
    return {};
}

cli_result<void> diff(const invocation& self)
{
    const auto files = load_files(self.line.operands.front(), self.line.overlays);
    if (!files)
        return unexpected(files.error());
    const auto address = platform_address(self.line, &files->platform_address);
    if (!address)
        return unexpected(address.error());
    configlog::config_history read;
    platform_log log{*address, self.deadline};
    if (auto done = log.read_to_end(read); !done)
        return done;
    const auto* current = read.in_force();
    if (current == nullptr)
        return nothing_published();
    auto candidate = current->record;
    candidate.settings = files->base;
    candidate.overlays = files->overlays;
    const auto before = configlog::parse_sites(current->record);
    const auto after = configlog::parse_sites(candidate);
    std::vector<settings::setting_change> fixed;
    // Faulty files were refused when they were loaded; the record in force has passed the check.
    if (before && after)
        fixed = configlog::fixed_changes({current->record, **before}, {candidate, **after});

    auto changes = json::array();
    for (const auto& one : settings::diff(current->record.settings, files->base))
        changes.push_back(to_json(one, "settings"));
    for (const auto& one : settings::diff(current->record.overlays, files->overlays))
        changes.push_back(to_json(one, "overlays"));
    if (self.line.json) {
        json refused = json::array();
        for (const auto& one : fixed)
            refused.push_back(one.key_path);
        self.out << json{{"version", read.version()},
                         {"changes", changes},
                         {"cannot_change", refused}}
                        .dump()
                 << '\n';
        return {};
    }
    if (changes.empty()) {
        self.out << "no difference from version " << read.version() << '\n';
        return {};
    }
    text_table table{{"PART", "KEY", "IN FORCE", "IN THE FILES"}};
    for (const auto& one : changes)
        table.add({one["part"], one["key"], shown(one["old"]), shown(one["new"])});
    table.write(self.out);
    for (const auto& one : fixed)
        self.out << "cannot change at run time: " << one.key_path << '\n';
    return {};
}

cli_result<void> publish(const invocation& self)
{
    if (!self.line.expect)
        return unexpected(operator_cli_error{exit_status::usage, "option --expect is missing"});
    const auto files = load_files(self.line.operands.front(), self.line.overlays);
    if (!files)
        return unexpected(files.error());
    const auto address = platform_address(self.line, &files->platform_address);
    if (!address)
        return unexpected(address.error());
    configlog::config_record record;
    record.record_id = new_record_id();
    record.author = author_of(self.line);
    record.settings = files->base;
    record.overlays = files->overlays;
    configlog::config_history read;
    platform_log log{*address, self.deadline};
    if (auto done = log.publish(std::move(record), *self.line.expect, read); !done)
        return done;
    const auto version = *self.line.expect + 1;
    if (self.line.json)
        self.out << json{{"version", version}}.dump() << '\n';
    else
        self.out << "version " << version << " is published\n";
    return {};
}

cli_result<void> history(const invocation& self)
{
    const auto read = read_history(self);
    if (!read)
        return unexpected(read.error());
    if (self.line.json) {
        auto entries = json::array();
        for (const auto& one : read->entries())
            entries.push_back(to_json(one));
        self.out << json{{"version", read->version()}, {"records", entries}}.dump() << '\n';
        return {};
    }
    text_table table{{"OFFSET", "APPENDED", "VERSION", "AUTHOR", "VERDICT", "DETAIL"}};
    for (const auto& one : read->entries())
        table.add({std::to_string(one.offset), utc_text(one.time), std::to_string(one.version),
                   one.author, std::string{to_name(one.decision)},
                   one.detail.substr(0, one.detail.find('\n'))});
    table.write(self.out);
    return {};
}

} // namespace chivewharf::operator_cli
