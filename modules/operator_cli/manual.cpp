#include <operator_cli/manual.h>

#include <algorithm>
#include <sstream>

namespace chivewharf::operator_cli {

namespace {

struct exit_code_help {
    exit_status code;
    const char* meaning;
};

constexpr exit_code_help exit_codes[] = {
    {exit_status::success, "success"},
    {exit_status::failed, "refused or failed"},
    {exit_status::usage, "wrong usage"},
    {exit_status::invalid, "the configuration is invalid"},
    {exit_status::conflict, "conflict: another version is in force or won"},
    {exit_status::unreachable, "the platform or an entry host did not answer in time"},
};

std::string option_usage(const option_spec& option)
{
    const std::string name = std::string{"--"} + option.name;
    return option.argument_name == nullptr ? name : name + ' ' + option.argument_name;
}

void write_two_columns(std::ostream& out,
                       const std::vector<std::pair<std::string, std::string>>& rows)
{
    std::size_t width = 0;
    for (const auto& [left, right] : rows)
        width = std::max(width, left.size());
    for (const auto& [left, right] : rows)
        out << "  " << left << std::string(width - left.size() + 2, ' ') << right << '\n';
}

void write_options(std::ostream& out, std::span<const option_spec> options)
{
    std::vector<std::pair<std::string, std::string>> rows;
    for (const auto& option : options)
        rows.emplace_back(option_usage(option), option.description);
    write_two_columns(out, rows);
}

/// Text with the special characters of roff escaped.
std::string roff_escaped(std::string_view text)
{
    std::string escaped;
    for (const char c : text) {
        if (c == '\\' || c == '-')
            escaped += '\\';
        escaped += c;
    }
    return escaped;
}

void write_roff_options(std::ostream& out, std::span<const option_spec> options)
{
    for (const auto& option : options)
        out << ".TP\n.B " << roff_escaped(option_usage(option)) << '\n'
            << roff_escaped(option.description) << '\n';
}

std::string option_names(std::span<const option_spec> options)
{
    std::string names;
    for (const auto& option : options)
        names += std::string{names.empty() ? "" : " "} + "--" + option.name;
    return names;
}

} // namespace

std::string help_text(const command* subcommand)
{
    std::ostringstream out;
    if (subcommand != nullptr) {
        out << "usage: chivewharfctl [OPTION]... " << usage_text(*subcommand) << "\n\n"
            << subcommand->summary << '\n';
        if (!subcommand->options.empty())
            out << '\n';
        write_options(out, subcommand->options);
    }
    else {
        out << "usage: chivewharfctl [OPTION]... COMMAND [ARGUMENT]...\n\nCommands:\n";
        std::vector<std::pair<std::string, std::string>> rows;
        for (const auto& entry : commands())
            rows.emplace_back(entry.name, entry.summary);
        write_two_columns(out, rows);
    }
    out << "\nOptions of every command:\n";
    write_options(out, global_options());
    out << "\nExit codes:\n";
    for (const auto& row : exit_codes)
        out << "  " << static_cast<int>(row.code) << "  " << row.meaning << '\n';
    return out.str();
}

std::string bash_completion()
{
    std::ostringstream out;
    std::string names;
    for (const auto& subcommand : commands())
        names += std::string{names.empty() ? "" : " "} + subcommand.name;
    std::string file_options;
    std::string other_options;
    for (const auto& option : global_options()) {
        if (option.argument_name == nullptr)
            continue;
        auto& list =
            std::string_view{option.argument_name} == "FILE" ? file_options : other_options;
        list += std::string{list.empty() ? "" : "|"} + "--" + option.name;
    }
    out << "# Completion of chivewharfctl for bash.\n"
           "_chivewharfctl()\n{\n"
           "    local word=${COMP_WORDS[COMP_CWORD]} before=${COMP_WORDS[COMP_CWORD-1]}\n"
           "    local chosen= options='"
        << option_names(global_options()) << "' i\n"
        << "    case $before in\n"
        << "        " << file_options << ") COMPREPLY=($(compgen -f -- \"$word\")); return ;;\n"
        << "        " << other_options << ") COMPREPLY=(); return ;;\n"
        << "    esac\n"
        << "    for ((i = 1; i < COMP_CWORD; i++)); do\n"
        << "        case ${COMP_WORDS[i]} in\n";
    for (const auto& subcommand : commands())
        out << "            " << subcommand.name << ") chosen=" << subcommand.name
            << "; options+=' " << option_names(subcommand.options) << "' ;;\n";
    out << "        esac\n"
        << "        [ -n \"$chosen\" ] && break\n"
        << "    done\n"
        << "    if [[ $word == -* ]]; then\n"
        << "        COMPREPLY=($(compgen -W \"$options\" -- \"$word\"))\n"
        << "    elif [ -z \"$chosen\" ]; then\n"
        << "        COMPREPLY=($(compgen -W '" << names << "' -- \"$word\"))\n"
        << "    else\n"
        << "        COMPREPLY=($(compgen -f -- \"$word\"))\n"
        << "    fi\n}\n"
        << "complete -o filenames -F _chivewharfctl chivewharfctl\n";
    return out.str();
}

std::string man_page()
{
    std::ostringstream out;
    out << ".TH CHIVEWHARFCTL 1\n"
           ".SH NAME\nchivewharfctl \\- operate chivewharf entry hosts\n"
           ".SH SYNOPSIS\n.B chivewharfctl\n[OPTION]... COMMAND [ARGUMENT]...\n"
           ".SH DESCRIPTION\nPublishes configurations through the platform's log and shows the "
           "state of the entry hosts. Every command ends within the time limit of "
           "\\-\\-timeout.\n"
           ".SH COMMANDS\n";
    for (const auto& subcommand : commands()) {
        out << ".SS " << roff_escaped(usage_text(subcommand)) << '\n'
            << roff_escaped(subcommand.summary) << '\n';
        write_roff_options(out, subcommand.options);
    }
    out << ".SH OPTIONS OF EVERY COMMAND\n";
    write_roff_options(out, global_options());
    out << ".SH EXIT STATUS\n";
    for (const auto& row : exit_codes)
        out << ".TP\n.B " << static_cast<int>(row.code) << '\n' << row.meaning << '\n';
    return out.str();
}

cli_result<void> completion(const invocation& context)
{
    if (context.line.operands.front() != "bash")
        return unexpected(operator_cli_error{exit_status::usage, "only bash is known"});
    context.out << bash_completion();
    return {};
}

cli_result<void> man(const invocation& context)
{
    context.out << man_page();
    return {};
}

} // namespace chivewharf::operator_cli
