#include <operator_cli/command_line.h>

#include <algorithm>
#include <getopt.h>
#include <operator_cli/command_table.h>

namespace chivewharf::operator_cli {

namespace {

auto usage_error(std::string message)
{
    return unexpected(operator_cli_error{exit_status::usage, std::move(message)});
}

/// All options without duplicates: several subcommands may have the same option.
std::vector<const option_spec*> all_options()
{
    std::vector<const option_spec*> all;
    const auto add = [&all](std::span<const option_spec> options) {
        for (const auto& spec : options) {
            const auto same = [&spec](const auto* other) {
                return std::string_view{other->name} == spec.name;
            };
            if (std::none_of(all.begin(), all.end(), same))
                all.push_back(&spec);
        }
    };
    add(global_options());
    for (const auto& subcommand : commands())
        add(subcommand.options);
    return all;
}

bool is_among(const option_spec& wanted, std::span<const option_spec> options)
{
    return std::any_of(options.begin(), options.end(), [&wanted](const auto& spec) {
        return std::string_view{spec.name} == wanted.name;
    });
}

cli_result<void> check_usage(const command_line& line,
                             const std::vector<const option_spec*>& used_options)
{
    const auto& subcommand = *line.subcommand;
    const std::string name{subcommand.name};
    for (const auto* spec : used_options) {
        if (!is_among(*spec, global_options()) && !is_among(*spec, subcommand.options))
            return usage_error("option --" + std::string{spec->name} + " does not belong to " +
                               name);
    }
    if (line.operands.size() < subcommand.min_operands ||
        line.operands.size() > subcommand.max_operands)
        return usage_error("wrong number of arguments; usage: chivewharfctl " +
                           usage_text(subcommand));
    return {};
}

} // namespace

cli_result<command_line> parse_command_line(const std::vector<std::string>& arguments)
{
    const auto options = all_options();
    std::vector<option> long_options;
    long_options.reserve(options.size() + 1);
    for (const auto* spec : options)
        long_options.push_back({spec->name,
                                spec->argument_name != nullptr ? required_argument : no_argument,
                                nullptr, static_cast<int>(long_options.size()) + 256});
    long_options.push_back({nullptr, 0, nullptr, 0});

    std::vector<std::string> argument_storage{"chivewharfctl"};
    argument_storage.insert(argument_storage.end(), arguments.begin(), arguments.end());
    std::vector<char*> argv;
    argv.reserve(argument_storage.size() + 1);
    for (auto& argument : argument_storage)
        argv.push_back(argument.data());
    argv.push_back(nullptr);
    const auto argc = static_cast<int>(argument_storage.size());

    command_line line;
    std::vector<const option_spec*> used_options;
    optind = 0; // resets glibc's getopt, which keeps state between calls
    opterr = 0;
    int option_code = 0;
    while ((option_code = getopt_long(argc, argv.data(), ":", long_options.data(), nullptr)) !=
           -1) {
        const std::string word = argv[static_cast<std::size_t>(optind) - 1];
        if (option_code == ':')
            return usage_error("option " + word + " needs an argument");
        if (option_code == '?')
            return usage_error("unknown option " + word);
        const auto& spec = *options[static_cast<std::size_t>(option_code) - 256];
        const std::string_view value = optarg == nullptr ? "" : optarg;
        if (!spec.store(line, value))
            return usage_error("option --" + std::string{spec.name} + ": \"" + std::string{value} +
                               "\" is not " + spec.argument_name);
        used_options.push_back(&spec);
    }
    for (int i = optind; i < argc; ++i)
        line.operands.emplace_back(argv[static_cast<std::size_t>(i)]);
    if (line.operands.empty()) {
        if (!line.help)
            return usage_error("no command given; chivewharfctl --help lists them");
        return line;
    }
    line.subcommand = find_command(line.operands.front());
    if (line.subcommand == nullptr)
        return usage_error("unknown command " + line.operands.front());
    line.operands.erase(line.operands.begin());
    if (line.help)
        return line;
    if (const auto fits = check_usage(line, used_options); !fits)
        return unexpected(fits.error());
    return line;
}

} // namespace chivewharf::operator_cli
