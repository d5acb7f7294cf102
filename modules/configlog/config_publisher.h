#pragma once

#include <base/result.h>
#include <configlog/config_history.h>
#include <configlog/config_record.h>
#include <cstdint>
#include <optional>
#include <string>

namespace chivewharf::configlog {

/// What is known about an append after its call has ended.
enum class append_outcome : std::uint8_t { written, not_written, may_have_been_written };

/// Result of a publication.
enum class publish_state : std::uint8_t {
    idle,      ///< nothing was published
    appending, ///< an append is under way
    reading,   ///< the log must be read to its end
    published, ///< the record is or was in force
    lost,      ///< a competing version won
    rejected,  ///< the readers reject the record
    unknown,   ///< the log forgot the records that would tell
};

/// Publishes one version and finds out what became of it. The log decides, never the answer to the
/// append: a lost answer is resolved by the record itself or by a competing version.
class config_publisher {
public:
    /// Checks the content and the expected version and starts a publication.
    /// \param record `record_id`, `author`, `settings` and `overlays`; the rest is filled in
    /// \param expected version that the change is based on; 0 for the first configuration
    /// \return the record to append, or `conflict`, `content_invalid`, `fixed_setting`, `too_large`
    ///     or `publish_pending`
    result<std::string, configlog_error> publish(config_record record, std::int64_t expected,
                                                 const config_history& history);

    /// The append has ended. After `not_written`, `retry` is possible at once.
    void on_append(append_outcome outcome);

    /// A record was applied to the history.
    void on_entry(const history_entry& entry);

    /// The history found that records were forgotten.
    void on_gap() noexcept { gap_ = true; }

    /// The history has read to the end of the log.
    void on_caught_up(const config_history& history);

    /// Record to append again, after the log was read to its end without a decision. A second copy
    /// has no effect, because it has the same record id and base. None while it is not needed.
    std::optional<std::string> retry();

    publish_state state() const noexcept { return state_; }

    /// Why the record was lost or rejected.
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
