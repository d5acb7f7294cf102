#pragma once

#include <cstddef>
#include <operator_cli/command_line.h>
#include <operator_cli/invocation.h>
#include <span>
#include <string>
#include <string_view>

namespace chivewharf::operator_cli {

/// Description of a subcommand. The parser, the help text, the shell completion and the man page
/// are generated from it.
struct command {
    const char* name;
    const char* operands; ///< as shown in the usage text
    const char* summary;
    std::size_t min_operands;
    std::size_t max_operands;
    std::span<const option_spec> options; ///< in addition to the global ones
    cli_result<void> (*run)(const invocation& context);
};

/// All subcommands, in the order in which the help lists them.
std::span<const command> commands();

/// Options that every subcommand accepts.
std::span<const option_spec> global_options();

/// Finds a subcommand by name; null if there is none.
const command* find_command(std::string_view name);

/// Usage line of a subcommand, without the program's name.
std::string usage_text(const command& subcommand);

} // namespace chivewharf::operator_cli
