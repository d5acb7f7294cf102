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

/// Overlay of a site, from `--overlay SITE=FILE`.
struct overlay_file {
    std::string site;
    std::string file;
};

/// A command line after parsing.
struct command_line {
    const command* chosen = nullptr; ///< null if only the help is wanted
    std::vector<std::string> operands;
    std::string host_file;
    std::string platform;             ///< `IP:PORT`; empty: from the host file
    std::vector<std::string> entries; ///< `IP:PORT`; empty: from the host file
    std::string token_file;
    std::string author;
    duration timeout = seconds{10};
    bool json = false;
    bool help = false;
    std::optional<std::int64_t> expect;
    std::vector<overlay_file> overlays;
    std::string customer;
    bool self = false;
};

/// An option. The parser, the help, the completion and the man page are made from these.
struct option_spec {
    const char* name;
    const char* argument; ///< name of its argument; null if it has none
    const char* description;
    /// Stores the value. False if it has another form than `argument` says.
    bool (*store)(command_line& line, std::string_view value);
};

/// Reads the words after the program's name.
/// \return the line, or a `usage` error that names the fault
cli_result<command_line> parse_command_line(const std::vector<std::string>& words);

} // namespace chivewharf::operator_cli
