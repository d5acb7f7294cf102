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
        err << error.message << '\n'; // one line for each fault, each with its file
    else
        err << "chivewharfctl: " << error.message << '\n';
    return static_cast<int>(error.code);
}

} // namespace

int run_program(const std::vector<std::string>& words, std::ostream& out, std::ostream& err)
{
    const auto started_at = boot_clock::now();
    const auto line = parse_command_line(words);
    if (!line)
        return report(line.error(), false, err);
    if (line->help) {
        out << help_text(line->chosen);
        return 0;
    }
    const invocation self{*line, out, started_at + line->timeout};
    try {
        if (const auto done = line->chosen->run(self); !done)
            return report(done.error(), line->json, err);
    }
    catch (const nlohmann::json::exception& fault) {
        // A host of another version may answer with other fields.
        return report({exit_status::failed, std::string{"unexpected answer: "} + fault.what()},
                      line->json, err);
    }
    return 0;
}

} // namespace chivewharf::operator_cli
