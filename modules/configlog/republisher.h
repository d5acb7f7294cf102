#pragma once

#include <base/rng.h>
#include <base/time.h>
#include <configlog/config_history.h>
#include <cstdint>
#include <optional>
#include <string>

namespace chivewharf::configlog {

/// Decides when this process republishes the version in force. A record older than half of the
/// retention is due after a random delay of up to an eighth of the retention, so that usually one
/// host of the system appends it and the others see it in time.
class republisher {
public:
    /// \param retention of the platform's log
    explicit republisher(duration retention) : retention_(retention) {}

    /// Call at least once a second.
    /// \param now wall time; compared with the append times of the log
    /// \param record_id id for the new record; must be unique
    /// \return the record to append, if it is due now
    std::optional<std::string> poll(wall_ms now, const config_history& history, rng& random,
                                    std::string_view record_id, std::string_view author);

private:
    wall_ms delay(rng& random) const;

    duration retention_;
    std::uint64_t waiting_for_ = 0; ///< offset of the record that the delay belongs to
    std::optional<wall_ms> due_;
};

} // namespace chivewharf::configlog
