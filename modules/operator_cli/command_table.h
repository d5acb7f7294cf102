#pragma once

#include <cstddef>
#include <operator_cli/command_line.h>
#include <operator_cli/invocation.h>
#include <span>
#include <string>
#include <string_view>

namespace chivewharf::operator_cli {

/// A subcommand. The parser, the help, the completion and the man page are made from these.
struct command {
    const char* name;
    const char* operands; ///< as the usage shows them
    const char* summary;
    std::size_t min_operands;
    std::size_t max_operands;
    std::span<const option_spec> options; ///< beside the global ones
    cli_result<void> (*run)(const invocation& self);
};

/// All subcommands, in the order of the help.
std::span<const command> commands();

/// Options of every subcommand.
std::span<const option_spec> global_options();

/// Subcommand with the name; null if there is none.
const command* find_command(std::string_view name);

/// Usage of a subcommand without the program's name.
std::string usage_of(const command& one);

} // namespace chivewharf::operator_cli
