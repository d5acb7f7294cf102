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

/// UTC time in ISO 8601, such as `2026-12-04T07:12:10Z`.
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

cli_result<configlog::config_history> read_history(const invocation& context)
{
    const auto address = platform_address(context.line);
    if (!address)
        return unexpected(address.error());
    configlog::config_history log_history;
    platform_log log{*address, context.deadline};
    if (auto done = log.read_to_end(log_history); !done)
        return unexpected(done.error());
    return log_history;
}

auto no_configuration_error()
{
    return unexpected(operator_cli_error{exit_status::failed, "no configuration is in force"});
}

std::string value_text(const json& value)
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

cli_result<void> check(const invocation& context)
{
    const auto& names = context.line.operands;
    std::vector<overlay_file> overlays;
    std::for_each(names.begin() + 1, names.end(), [&overlays](const auto& file) {
        overlays.push_back({file, file});
    });
    if (const auto files = load_config_files(names.front(), overlays); !files)
        return unexpected(files.error());
    if (context.line.json)
        context.out << json{{"valid", true}}.dump() << '\n';
    else
        context.out << "the settings are valid\n";
    return {};
}

cli_result<void> show(const invocation& context)
{
    const auto log_history = read_history(context);
    if (!log_history)
        return unexpected(log_history.error());
    const auto* current = log_history->in_force();
    if (current == nullptr)
        return no_configuration_error();
    const auto& record = current->record;
    if (context.line.json) {
        context.out << json{{"version", record.version},
                            {"author", record.author},
                            {"record_id", record.publication_id()},
                            {"time_ms", current->time},
                            {"settings", record.settings},
                            {"overlays", record.overlays}}
                           .dump()
                    << '\n';
        return {};
    }
    context.out << "version:  " << record.version << "\nauthor:   " << record.author
                << "\nrecord:   " << record.publication_id()
                << "\nappended: " << utc_text(current->time) << "\n\nsettings\n"
                << record.settings.dump(2) << '\n';
    for (const auto& [site, overlay] : record.overlays.items())
        context.out << "\noverlay of " << site << '\n' << overlay.dump(2) << '\n';
    return {};
}

cli_result<void> diff(const invocation& context)
{
    const auto files = load_config_files(context.line.operands.front(), context.line.overlays);
    if (!files)
        return unexpected(files.error());
    const auto address = platform_address(context.line, &files->platform_address);
    if (!address)
        return unexpected(address.error());
    configlog::config_history log_history;
    platform_log log{*address, context.deadline};
    if (auto done = log.read_to_end(log_history); !done)
        return done;
    const auto* current = log_history.in_force();
    if (current == nullptr)
        return no_configuration_error();
    auto candidate = current->record;
    candidate.settings = files->base;
    candidate.overlays = files->overlays;
    const auto current_sites = configlog::parse_sites(current->record);
    const auto candidate_sites = configlog::parse_sites(candidate);
    std::vector<settings::setting_change> immutable_changes;
    // Parsing fails for neither: load_config_files rejects invalid files, and the record in force
    // was validated before it came into force.
    if (current_sites && candidate_sites)
        immutable_changes = configlog::fixed_changes({current->record, **current_sites},
                                                     {candidate, **candidate_sites});

    auto changes = json::array();
    for (const auto& change : settings::diff(current->record.settings, files->base))
        changes.push_back(to_json(change, "settings"));
    for (const auto& change : settings::diff(current->record.overlays, files->overlays))
        changes.push_back(to_json(change, "overlays"));
    if (context.line.json) {
        json immutable_keys = json::array();
        for (const auto& change : immutable_changes)
            immutable_keys.push_back(change.key_path);
        context.out << json{{"version", log_history.version()},
                            {"changes", changes},
                            {"cannot_change", immutable_keys}}
                           .dump()
                    << '\n';
        return {};
    }
    if (changes.empty()) {
        context.out << "no difference from version " << log_history.version() << '\n';
        return {};
    }
    text_table table{{"PART", "KEY", "IN FORCE", "IN THE FILES"}};
    for (const auto& change : changes)
        table.add(
            {change["part"], change["key"], value_text(change["old"]), value_text(change["new"])});
    table.write(context.out);
    for (const auto& change : immutable_changes)
        context.out << "cannot change at run time: " << change.key_path << '\n';
    return {};
}

cli_result<void> publish(const invocation& context)
{
    if (!context.line.expected_version)
        return unexpected(operator_cli_error{exit_status::usage, "option --expect is missing"});
    const auto files = load_config_files(context.line.operands.front(), context.line.overlays);
    if (!files)
        return unexpected(files.error());
    const auto address = platform_address(context.line, &files->platform_address);
    if (!address)
        return unexpected(address.error());
    configlog::config_record record;
    record.record_id = new_record_id();
    record.author = author_of(context.line);
    record.settings = files->base;
    record.overlays = files->overlays;
    configlog::config_history log_history;
    platform_log log{*address, context.deadline};
    if (auto done = log.publish(std::move(record), *context.line.expected_version, log_history);
        !done)
        return done;
    const auto version = *context.line.expected_version + 1;
    if (context.line.json)
        context.out << json{{"version", version}}.dump() << '\n';
    else
        context.out << "version " << version << " is published\n";
    return {};
}

cli_result<void> history(const invocation& context)
{
    const auto log_history = read_history(context);
    if (!log_history)
        return unexpected(log_history.error());
    if (context.line.json) {
        auto entries = json::array();
        for (const auto& entry : log_history->entries())
            entries.push_back(to_json(entry));
        context.out << json{{"version", log_history->version()}, {"records", entries}}.dump()
                    << '\n';
        return {};
    }
    text_table table{{"OFFSET", "APPENDED", "VERSION", "AUTHOR", "VERDICT", "DETAIL"}};
    for (const auto& entry : log_history->entries())
        table.add({std::to_string(entry.offset), utc_text(entry.time),
                   std::to_string(entry.version), entry.author,
                   std::string{to_name(entry.decision)},
                   entry.detail.substr(0, entry.detail.find('\n'))});
    table.write(context.out);
    return {};
}

} // namespace chivewharf::operator_cli
