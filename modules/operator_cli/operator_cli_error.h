#pragma once

#include <array>
#include <base/enum_names.h>
#include <base/result.h>
#include <cstdint>
#include <string>

namespace chivewharf::operator_cli {

/// Outcome of a command. The value is the exit code of the process.
enum class exit_status : std::uint8_t {
    success,
    failed,      ///< the command was refused or failed
    usage,       ///< the command line is wrong
    invalid,     ///< the configuration is not valid
    conflict,    ///< a version other than the expected one is in force, or a concurrent publication
                 ///< won
    unreachable, ///< the platform or an entry host did not answer in time
};

/// Why a command did not succeed.
struct operator_cli_error {
    exit_status code;
    std::string message; ///< may contain line breaks
};

template <class T>
using cli_result = result<T, operator_cli_error>;

} // namespace chivewharf::operator_cli

template <>
struct chivewharf::enum_names<chivewharf::operator_cli::exit_status> {
    static constexpr std::array<std::string_view, 6> names{"success", "failed",   "usage",
                                                           "invalid", "conflict", "unreachable"};
};
