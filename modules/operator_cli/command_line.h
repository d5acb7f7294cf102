#pragma once

#include <base/time.h>
#include <cstdint>
#include <operator_cli/operator_cli_error.h>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace chivewharf::operator_cli {

struct command;

/// Settings overlay of one site, from `--overlay SITE=FILE`.
struct overlay_file {
    std::string site;
    std::string file;
};

/// A parsed command line.
struct command_line {
    const command* subcommand = nullptr; ///< null only if `help` is set
    std::vector<std::string> operands;
    std::string host_file;
    std::string platform;             ///< `IP:PORT`; if empty, from the host file
    std::vector<std::string> entries; ///< `IP:PORT` each; if empty, from the host file
    std::string token_file;
    std::string author;
    duration timeout = seconds{10};
    bool json = false;
    bool help = false;
    std::optional<std::int64_t> expected_version;
    std::vector<overlay_file> overlays;
    std::string customer;
    bool target_self = false; ///< `--self`: (un)drain the entry host itself, not a worker
};

/// Description of an option. The parser, the help text, the shell completion and the man page are
/// generated from it.
struct option_spec {
    const char* name;
    const char* argument_name; ///< null if the option takes no argument
    const char* description;
    /// Parses and stores the value; returns false if it does not have the form that `argument_name`
    /// states.
    bool (*store)(command_line& line, std::string_view value);
};

/// Parses the arguments after the program's name.
/// \return the command line, or a `usage` error that states what is wrong
cli_result<command_line> parse_command_line(const std::vector<std::string>& arguments);

} // namespace chivewharf::operator_cli
