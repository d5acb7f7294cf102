#pragma once

/// Module operator_cli: the operators' command `chivewharfctl`.
///
/// Purpose: the option tables, with the parser, help text, shell completion and man page generated
/// from them; the subcommands; and the clients of the platform's log and of the operators'
/// interface of the entry hosts. Every invocation ends within the time limit of `--timeout`.
/// Depends on: base, settings, configlog, runtime, nlohmann json.

#include <operator_cli/blocking_http_client.h>
#include <operator_cli/command_line.h>
#include <operator_cli/command_table.h>
#include <operator_cli/config_commands.h>
#include <operator_cli/config_files.h>
#include <operator_cli/entry_host_client.h>
#include <operator_cli/host_commands.h>
#include <operator_cli/invocation.h>
#include <operator_cli/manual.h>
#include <operator_cli/operator_cli_error.h>
#include <operator_cli/platform_log.h>
#include <operator_cli/program.h>
#include <operator_cli/text_table.h>
