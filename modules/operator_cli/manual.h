#pragma once

#include <operator_cli/command_table.h>
#include <operator_cli/invocation.h>
#include <string>

namespace chivewharf::operator_cli {

/// Help text of one subcommand, or of the whole program.
/// \param subcommand null for the whole program
std::string help_text(const command* subcommand);

/// Completion script for bash.
std::string bash_completion();

/// Man page in roff, with the `man` macros.
std::string man_page();

/// Subcommands that print the completion script and the man page.
cli_result<void> completion(const invocation& context);
cli_result<void> man(const invocation& context);

} // namespace chivewharf::operator_cli
