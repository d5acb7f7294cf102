#pragma once

#include <base/rng.h>
#include <configlog/configlog.h>
#include <operator_cli/blocking_http_client.h>
#include <operator_cli/operator_cli_error.h>
#include <string>

namespace chivewharf::operator_cli {

/// Client of the stream `configuration` in the platform's log.
class platform_log {
public:
    /// \param address `IP:PORT` of the platform
    platform_log(std::string address, time_point deadline);

    /// Appends to the history all records that it does not have yet, up to the end of the log.
    /// Failed reads are retried until the deadline, with exponential back-off and jitter.
    /// \param publisher notified of every record; may be null
    /// \return success, or `unreachable`
    cli_result<void> read_to_end(configlog::config_history& history,
                                 configlog::config_publisher* publisher = nullptr);

    /// Publishes the record. If the response to an append is lost, the log is read to determine the
    /// outcome.
    /// \param expected_version version in force that the record replaces
    /// \return success once the record is in force, or `failed`, `invalid`, `conflict` or
    ///     `unreachable`. After `unreachable` the record may still come into force; the log shows
    ///     the outcome once it can be read.
    cli_result<void> publish(configlog::config_record record, std::int64_t expected_version,
                             configlog::config_history& history);

private:
    configlog::append_outcome append(const std::string& data);
    void back_off(unsigned failures);

    std::string address_;
    blocking_http_client http_;
    rng random_;
};

} // namespace chivewharf::operator_cli
