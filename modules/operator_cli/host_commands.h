#pragma once

#include <operator_cli/invocation.h>

namespace chivewharf::operator_cli {

/// Subcommands on entry hosts; see the command table for what each does. If a host did not answer,
/// the rest is printed and the error is `unreachable`.
cli_result<void> status(const invocation& self);
cli_result<void> drain(const invocation& self);
cli_result<void> undrain(const invocation& self);
cli_result<void> submission(const invocation& self);
cli_result<void> customer(const invocation& self);

} // namespace chivewharf::operator_cli
