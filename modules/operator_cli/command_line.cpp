#include <operator_cli/command_line.h>

#include <algorithm>
#include <getopt.h>
#include <operator_cli/command_table.h>

namespace chivewharf::operator_cli {

namespace {

auto misuse(std::string message)
{
    return unexpected(operator_cli_error{exit_status::usage, std::move(message)});
}

/// All options once, since an option may belong to several commands.
std::vector<const option_spec*> all_options()
{
    std::vector<const option_spec*> all;
    const auto add = [&all](std::span<const option_spec> some) {
        for (const auto& one : some) {
            const auto same = [&one](const auto* other) {
                return std::string_view{other->name} == one.name;
            };
            if (std::none_of(all.begin(), all.end(), same))
                all.push_back(&one);
        }
    };
    add(global_options());
    for (const auto& one : commands())
        add(one.options);
    return all;
}

bool belongs_to(const option_spec& wanted, std::span<const option_spec> some)
{
    return std::any_of(some.begin(), some.end(), [&wanted](const auto& one) {
        return std::string_view{one.name} == wanted.name;
    });
}

cli_result<void> check_fit(const command_line& line, const std::vector<const option_spec*>& used)
{
    const auto& chosen = *line.chosen;
    const std::string name{chosen.name};
    for (const auto* one : used) {
        if (!belongs_to(*one, global_options()) && !belongs_to(*one, chosen.options))
            return misuse("option --" + std::string{one->name} + " does not belong to " + name);
    }
    if (line.operands.size() < chosen.min_operands || line.operands.size() > chosen.max_operands)
        return misuse("wrong number of arguments; usage: chivewharfctl " + usage_of(chosen));
    return {};
}

} // namespace

cli_result<command_line> parse_command_line(const std::vector<std::string>& words)
{
    const auto options = all_options();
    std::vector<option> table;
    table.reserve(options.size() + 1);
    for (const auto* one : options)
        table.push_back({one->name, one->argument != nullptr ? required_argument : no_argument,
                         nullptr, static_cast<int>(table.size()) + 256});
    table.push_back({nullptr, 0, nullptr, 0});

    std::vector<std::string> copies{"chivewharfctl"};
    copies.insert(copies.end(), words.begin(), words.end());
    std::vector<char*> arguments;
    arguments.reserve(copies.size() + 1);
    for (auto& one : copies)
        arguments.push_back(one.data());
    arguments.push_back(nullptr);
    const auto count = static_cast<int>(copies.size());

    command_line line;
    std::vector<const option_spec*> used;
    optind = 0; // restarts glibc's getopt, which keeps its state between calls
    opterr = 0;
    int number = 0;
    while ((number = getopt_long(count, arguments.data(), ":", table.data(), nullptr)) != -1) {
        const std::string word = arguments[static_cast<std::size_t>(optind) - 1];
        if (number == ':')
            return misuse("option " + word + " needs an argument");
        if (number == '?')
            return misuse("unknown option " + word);
        const auto& one = *options[static_cast<std::size_t>(number) - 256];
        const std::string_view value = optarg == nullptr ? "" : optarg;
        if (!one.store(line, value))
            return misuse("option --" + std::string{one.name} + ": \"" + std::string{value} +
                          "\" is not " + one.argument);
        used.push_back(&one);
    }
    for (int i = optind; i < count; ++i)
        line.operands.emplace_back(arguments[static_cast<std::size_t>(i)]);
    if (line.operands.empty()) {
        if (!line.help)
            return misuse("no command given; chivewharfctl --help lists them");
        return line;
    }
    line.chosen = find_command(line.operands.front());
    if (line.chosen == nullptr)
        return misuse("unknown command " + line.operands.front());
    line.operands.erase(line.operands.begin());
    if (line.help)
        return line;
    if (const auto fits = check_fit(line, used); !fits)
        return unexpected(fits.error());
    return line;
}

} // namespace chivewharf::operator_cli
