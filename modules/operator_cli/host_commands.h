#pragma once

#include <operator_cli/invocation.h>

namespace chivewharf::operator_cli {

/// Subcommands that query or change entry hosts. The command table describes each of them. If a
/// host does not respond, the results of the others are printed and the error is `unreachable`.
cli_result<void> status(const invocation& context);
cli_result<void> drain(const invocation& context);
cli_result<void> undrain(const invocation& context);
cli_result<void> submission(const invocation& context);
cli_result<void> customer(const invocation& context);

} // namespace chivewharf::operator_cli
