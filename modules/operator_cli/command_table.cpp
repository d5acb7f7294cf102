#include <operator_cli/command_table.h>

#include <algorithm>
#include <charconv>
#include <operator_cli/config_commands.h>
#include <operator_cli/host_commands.h>
#include <operator_cli/manual.h>
#include <settings/endpoint.h>

namespace chivewharf::operator_cli {

namespace {

constexpr std::size_t max_checked_files = 1000;
constexpr std::int64_t max_timeout_s = 3600;

bool parse_integer(std::string_view text, std::int64_t min, std::int64_t max, std::int64_t& value)
{
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    return parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size() && value >= min &&
           value <= max;
}

template <auto Member>
bool store_text(command_line& line, std::string_view value)
{
    line.*Member = value;
    return !value.empty();
}

template <auto Member>
bool store_flag(command_line& line, std::string_view /*value*/)
{
    line.*Member = true;
    return true;
}

bool store_platform(command_line& line, std::string_view value)
{
    line.platform = value;
    return settings::parse_endpoint(value).has_value();
}

bool store_entry(command_line& line, std::string_view value)
{
    line.entries.emplace_back(value);
    return settings::parse_endpoint(value).has_value();
}

bool store_timeout(command_line& line, std::string_view value)
{
    std::int64_t parsed = 0;
    const bool valid = parse_integer(value, 1, max_timeout_s, parsed);
    line.timeout = seconds{parsed};
    return valid;
}

bool store_expect(command_line& line, std::string_view value)
{
    std::int64_t parsed = 0;
    const bool valid = parse_integer(value, 0, INT64_MAX - 1, parsed);
    line.expected_version = parsed;
    return valid;
}

bool store_overlay(command_line& line, std::string_view value)
{
    const auto separator = value.find('=');
    if (separator == std::string_view::npos || separator == 0 || separator + 1 == value.size())
        return false;
    line.overlays.push_back(
        {std::string{value.substr(0, separator)}, std::string{value.substr(separator + 1)}});
    return true;
}

constexpr option_spec global_option_table[] = {
    {"host", "FILE", "local settings of a process; they give the addresses below",
     &store_text<&command_line::host_file>},
    {"platform", "IP:PORT", "address of the platform", &store_platform},
    {"entry", "IP:PORT", "caller address of an entry host; repeat it for each host", &store_entry},
    {"token-file", "FILE", "file that holds the operator's token",
     &store_text<&command_line::token_file>},
    {"author", "NAME", "name that a publication carries; $USER by default",
     &store_text<&command_line::author>},
    {"timeout", "SECONDS", "limit of the total time, 1 to 3600; 10 by default", &store_timeout},
    {"json", nullptr, "print JSON instead of tables", &store_flag<&command_line::json>},
    {"help", nullptr, "show this text", &store_flag<&command_line::help>},
};

constexpr option_spec overlay_option{"overlay", "SITE=FILE",
                                     "overlay of a site; repeat it for each site", &store_overlay};

constexpr option_spec diff_options[] = {overlay_option};

constexpr option_spec publish_options[] = {
    {"expect", "VERSION", "version that the change is based on; 0 for the first", &store_expect},
    overlay_option,
};

constexpr option_spec submission_options[] = {
    {"customer", "NAME", "customer that the id belongs to", &store_text<&command_line::customer>},
};

constexpr option_spec drain_options[] = {
    {"self", nullptr, "the entry host itself (exactly one --entry) instead of a worker",
     &store_flag<&command_line::target_self>},
};

constexpr command subcommands[] = {
    {"check",
     "BASE [OVERLAY]...",
     "check settings files and report every fault",
     1,
     max_checked_files,
     {},
     &check},
    {"show", "", "show the configuration in force", 0, 0, {}, &show},
    {"diff", "BASE", "compare files with the configuration in force", 1, 1, diff_options, &diff},
    {"publish", "BASE", "publish files as the next version", 1, 1, publish_options, &publish},
    {"history", "", "list the records of the log and what became of them", 0, 0, {}, &history},
    {"status", "", "show every entry host", 0, 0, {}, &status},
    {"drain", "[WORKER]", "give a worker no new work, or an entry host no new callers", 0, 1,
     drain_options, &drain},
    {"undrain", "[WORKER]", "undo drain", 0, 1, drain_options, &undrain},
    {"submission", "ID", "show where a submission is held", 1, 1, submission_options, &submission},
    {"customer", "NAME", "show a customer's share against the promised one", 1, 1, {}, &customer},
    {"completion", "bash", "print a completion script", 1, 1, {}, &completion},
    {"man", "", "print the man page", 0, 0, {}, &man},
};

} // namespace

std::span<const command> commands()
{
    return subcommands;
}

std::span<const option_spec> global_options()
{
    return global_option_table;
}

const command* find_command(std::string_view name)
{
    const auto* found =
        std::find_if(std::begin(subcommands), std::end(subcommands),
                     [name](const auto& subcommand) { return subcommand.name == name; });
    return found == std::end(subcommands) ? nullptr : found;
}

std::string usage_text(const command& subcommand)
{
    std::string text{subcommand.name};
    for (const auto& option : subcommand.options) {
        text += std::string{" [--"} + option.name;
        if (option.argument_name != nullptr)
            text += std::string{" "} + option.argument_name;
        text += ']';
    }
    if (*subcommand.operands != '\0')
        text += std::string{" "} + subcommand.operands;
    return text;
}

} // namespace chivewharf::operator_cli
