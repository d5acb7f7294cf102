#pragma once

/// Module operator_cli: the operators' command `chivewharfctl`.
///
/// Purpose: the option tables and what is made from them (parser, help, completion, man page), the
/// subcommands, and the clients of the platform's log and of the entry hosts' operator interface.
/// Every invocation has a bounded total time.
/// Depends on: base, settings, configlog, runtime, nlohmann json.

#include <operator_cli/call_runner.h>
#include <operator_cli/command_line.h>
#include <operator_cli/command_table.h>
#include <operator_cli/config_commands.h>
#include <operator_cli/config_files.h>
#include <operator_cli/entry_clients.h>
#include <operator_cli/host_commands.h>
#include <operator_cli/invocation.h>
#include <operator_cli/manual.h>
#include <operator_cli/operator_cli_error.h>
#include <operator_cli/platform_log.h>
#include <operator_cli/program.h>
#include <operator_cli/text_table.h>
