#include <operator_cli/manual.h>

#include <algorithm>
#include <sstream>

namespace chivewharf::operator_cli {

namespace {

struct exit_line {
    exit_status code;
    const char* meaning;
};

constexpr exit_line exit_lines[] = {
    {exit_status::success, "success"},
    {exit_status::failed, "refused or failed"},
    {exit_status::usage, "wrong usage"},
    {exit_status::invalid, "the configuration is invalid"},
    {exit_status::conflict, "conflict: another version is in force or won"},
    {exit_status::unreachable, "the platform or an entry host did not answer in time"},
};

std::string option_usage(const option_spec& one)
{
    const std::string name = std::string{"--"} + one.name;
    return one.argument == nullptr ? name : name + ' ' + one.argument;
}

void write_pairs(std::ostream& out, const std::vector<std::pair<std::string, std::string>>& pairs)
{
    std::size_t width = 0;
    for (const auto& [left, right] : pairs)
        width = std::max(width, left.size());
    for (const auto& [left, right] : pairs)
        out << "  " << left << std::string(width - left.size() + 2, ' ') << right << '\n';
}

void write_options(std::ostream& out, std::span<const option_spec> options)
{
    std::vector<std::pair<std::string, std::string>> pairs;
    for (const auto& one : options)
        pairs.emplace_back(option_usage(one), one.description);
    write_pairs(out, pairs);
}

/// Text with the characters that roff treats as its own escaped.
std::string roff(std::string_view text)
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
    for (const auto& one : options)
        out << ".TP\n.B " << roff(option_usage(one)) << '\n' << roff(one.description) << '\n';
}

std::string option_words(std::span<const option_spec> options)
{
    std::string words;
    for (const auto& one : options)
        words += std::string{words.empty() ? "" : " "} + "--" + one.name;
    return words;
}

} // namespace

std::string help_text(const command* one)
{
    std::ostringstream out;
    if (one != nullptr) {
        out << "usage: chivewharfctl [OPTION]... " << usage_of(*one) << "\n\n"
            << one->summary << '\n';
        if (!one->options.empty())
            out << '\n';
        write_options(out, one->options);
    }
    else {
        out << "usage: chivewharfctl [OPTION]... COMMAND [ARGUMENT]...\n\nCommands:\n";
        std::vector<std::pair<std::string, std::string>> pairs;
        for (const auto& each : commands())
            pairs.emplace_back(each.name, each.summary);
        write_pairs(out, pairs);
    }
    out << "\nOptions of every command:\n";
    write_options(out, global_options());
    out << "\nExit codes:\n";
    for (const auto& line : exit_lines)
        out << "  " << static_cast<int>(line.code) << "  " << line.meaning << '\n';
    return out.str();
}

std::string bash_completion()
{
    std::ostringstream out;
    std::string names;
    for (const auto& one : commands())
        names += std::string{names.empty() ? "" : " "} + one.name;
    std::string with_file;
    std::string with_other;
    for (const auto& one : global_options()) {
        if (one.argument == nullptr)
            continue;
        auto& list = std::string_view{one.argument} == "FILE" ? with_file : with_other;
        list += std::string{list.empty() ? "" : "|"} + "--" + one.name;
    }
    out << "# Completion of chivewharfctl for bash.\n"
           "_chivewharfctl()\n{\n"
           "    local word=${COMP_WORDS[COMP_CWORD]} before=${COMP_WORDS[COMP_CWORD-1]}\n"
           "    local chosen= options='"
        << option_words(global_options()) << "' i\n"
        << "    case $before in\n"
        << "        " << with_file << ") COMPREPLY=($(compgen -f -- \"$word\")); return ;;\n"
        << "        " << with_other << ") COMPREPLY=(); return ;;\n"
        << "    esac\n"
        << "    for ((i = 1; i < COMP_CWORD; i++)); do\n"
        << "        case ${COMP_WORDS[i]} in\n";
    for (const auto& one : commands())
        out << "            " << one.name << ") chosen=" << one.name << "; options+=' "
            << option_words(one.options) << "' ;;\n";
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
    for (const auto& one : commands()) {
        out << ".SS " << roff(usage_of(one)) << '\n' << roff(one.summary) << '\n';
        write_roff_options(out, one.options);
    }
    out << ".SH OPTIONS OF EVERY COMMAND\n";
    write_roff_options(out, global_options());
    out << ".SH EXIT STATUS\n";
    for (const auto& line : exit_lines)
        out << ".TP\n.B " << static_cast<int>(line.code) << '\n' << line.meaning << '\n';
    return out.str();
}

cli_result<void> completion(const invocation& self)
{
    if (self.line.operands.front() != "bash")
        return unexpected(operator_cli_error{exit_status::usage, "only bash is known"});
    self.out << bash_completion();
    return {};
}

cli_result<void> man(const invocation& self)
{
    self.out << man_page();
    return {};
}

} // namespace chivewharf::operator_cli
