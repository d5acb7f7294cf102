#pragma once

#include <base/rng.h>
#include <configlog/configlog.h>
#include <operator_cli/call_runner.h>
#include <operator_cli/operator_cli_error.h>
#include <string>

namespace chivewharf::operator_cli {

/// Client of the platform's log for the stream `configuration`.
class platform_log {
public:
    /// \param address `IP:PORT` of the platform
    platform_log(std::string address, time_point deadline);

    /// Reads the records after those in the history, to the end of the log. Failed reads are
    /// repeated with jitter until the deadline.
    /// \param publisher told of every record; may be null
    /// \return nothing, or `unreachable`
    cli_result<void> read_to_end(configlog::config_history& history,
                                 configlog::config_publisher* publisher = nullptr);

    /// Publishes the record. A lost answer is resolved by reading the log.
    /// \return nothing once the record is in force, or `failed`, `invalid`, `conflict` or
    ///     `unreachable`; with the last, the outcome is in the log and is not known here
    cli_result<void> publish(configlog::config_record record, std::int64_t expected,
                             configlog::config_history& history);

private:
    configlog::append_outcome append(const std::string& data);
    void back_off(unsigned failures);

    std::string address_;
    call_runner calls_;
    rng random_;
};

} // namespace chivewharf::operator_cli
