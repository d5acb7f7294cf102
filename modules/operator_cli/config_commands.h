#pragma once

#include <operator_cli/invocation.h>

namespace chivewharf::operator_cli {

/// Subcommands on configurations; see the command table for what each does.
cli_result<void> check(const invocation& self);
cli_result<void> show(const invocation& self);
cli_result<void> diff(const invocation& self);
cli_result<void> publish(const invocation& self);
cli_result<void> history(const invocation& self);

} // namespace chivewharf::operator_cli
