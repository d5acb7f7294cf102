#pragma once

#include <base/rng.h>
#include <base/time.h>
#include <configlog/config_history.h>
#include <cstdint>
#include <optional>
#include <string>

namespace chivewharf::configlog {

/// Decides when this process republishes the version in force. Once the newest copy of the record
/// is older than half of the log retention, republication is due after a random delay of up to an
/// eighth of the retention. Usually one host of the system then appends it, and the others read the
/// copy before their own delay ends.
class republisher {
public:
    /// \param retention time for which the platform's log keeps a record
    explicit republisher(duration retention) : retention_(retention) {}

    /// Returns the republication if it is due. Call at least once per second.
    /// \param now wall-clock time, which is compared with the append times in the log
    /// \param record_id unique id for the new record
    /// \return the record to append; empty if none is due
    std::optional<std::string> poll(wall_ms now, const config_history& history, rng& random,
                                    std::string_view record_id, std::string_view author);

private:
    wall_ms delay(rng& random) const;

    duration retention_;
    std::uint64_t due_offset_ = 0; ///< offset of the record for which `due_at_` was set
    std::optional<wall_ms> due_at_;
};

} // namespace chivewharf::configlog
