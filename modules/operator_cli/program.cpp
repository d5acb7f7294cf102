#include <operator_cli/program.h>

#include <nlohmann/json.hpp>
#include <operator_cli/command_table.h>
#include <operator_cli/manual.h>

namespace chivewharf::operator_cli {

namespace {

int report(const operator_cli_error& error, bool as_json, std::ostream& err)
{
    if (as_json)
        err << nlohmann::json{{"error", to_name(error.code)}, {"message", error.message}}.dump()
            << '\n';
    else if (error.code == exit_status::invalid)
        err << error.message << '\n'; // one line per fault, which starts with its file
    else
        err << "chivewharfctl: " << error.message << '\n';
    return static_cast<int>(error.code);
}

} // namespace

int run_program(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err)
{
    const auto started_at = boot_clock::now();
    const auto line = parse_command_line(arguments);
    if (!line)
        return report(line.error(), false, err);
    if (line->help) {
        out << help_text(line->subcommand);
        return 0;
    }
    const invocation context{*line, out, started_at + line->timeout};
    try {
        if (const auto result = line->subcommand->run(context); !result)
            return report(result.error(), line->json, err);
    }
    catch (const nlohmann::json::exception& error) {
        // An entry host that runs another release may respond with different fields.
        return report({exit_status::failed, std::string{"unexpected answer: "} + error.what()},
                      line->json, err);
    }
    return 0;
}

} // namespace chivewharf::operator_cli
