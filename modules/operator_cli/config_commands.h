#pragma once

#include <operator_cli/invocation.h>

namespace chivewharf::operator_cli {

/// Subcommands that work on configurations. The command table describes each of them.
cli_result<void> check(const invocation& context);
cli_result<void> show(const invocation& context);
cli_result<void> diff(const invocation& context);
cli_result<void> publish(const invocation& context);
cli_result<void> history(const invocation& context);

} // namespace chivewharf::operator_cli
