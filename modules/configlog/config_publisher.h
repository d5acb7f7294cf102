#pragma once

#include <base/result.h>
#include <configlog/config_history.h>
#include <configlog/config_record.h>
#include <cstdint>
#include <optional>
#include <string>

namespace chivewharf::configlog {

/// Outcome of a call that appends to the log.
enum class append_outcome : std::uint8_t { written, not_written, may_have_been_written };

/// Result of a publication.
enum class publish_state : std::uint8_t {
    idle,      ///< no publication was started
    appending, ///< an append is in flight
    reading,   ///< reads the log to find the result
    published, ///< the record is or was in force
    lost,      ///< a competing record won
    rejected,  ///< readers reject the record
    unknown,   ///< the log no longer holds the records that show the result
};

/// Publishes one version and determines the result. Only the log decides, never the response to the
/// append: if the response is lost, the record itself or a competing version in the log shows the
/// result.
class config_publisher {
public:
    /// Checks the content and the expected version and starts a publication.
    /// \param record must have `record_id`, `author`, `settings` and `overlays`; this function sets
    ///     the other members
    /// \param expected version that the change is based on; 0 for the first configuration
    /// \return the record to append, or `conflict`, `content_invalid`, `fixed_setting`, `too_large`
    ///     or `publish_pending`
    result<std::string, configlog_error> publish(config_record record, std::int64_t expected,
                                                 const config_history& history);

    /// Reports the outcome of the append. After `not_written`, `retry` is allowed at once.
    void on_append(append_outcome outcome);

    /// Reports a record that was applied to the history.
    void on_entry(const history_entry& entry);

    /// Reports that the log removed records before the history read them.
    void on_gap() noexcept { gap_ = true; }

    /// Reports that the history has reached the end of the log.
    void on_caught_up(const config_history& history);

    /// Returns the record to append again, if it was not written or the log was read to its end
    /// without a result. A second copy has no effect because it has the same record id and base.
    /// \return empty if no retry is needed
    std::optional<std::string> retry();

    publish_state state() const noexcept { return state_; }

    /// Reason why the record lost or was rejected.
    const std::string& detail() const noexcept { return detail_; }

private:
    bool pending() const noexcept
    {
        return state_ == publish_state::appending || state_ == publish_state::reading;
    }
    void end(publish_state state, std::string detail);

    publish_state state_ = publish_state::idle;
    std::string detail_;
    std::string record_id_;
    std::string data_;
    std::int64_t version_ = 0;
    bool gap_ = false;
    bool may_retry_ = false;
};

} // namespace chivewharf::configlog
