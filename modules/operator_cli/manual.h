#pragma once

#include <operator_cli/command_table.h>
#include <operator_cli/invocation.h>
#include <string>

namespace chivewharf::operator_cli {

/// Help of the program, or of one subcommand.
/// \param one null for the whole program
std::string help_text(const command* one);

/// Script for the completion of bash.
std::string bash_completion();

/// Man page in the man macros of roff.
std::string man_page();

/// Subcommands that print the two.
cli_result<void> completion(const invocation& self);
cli_result<void> man(const invocation& self);

} // namespace chivewharf::operator_cli
