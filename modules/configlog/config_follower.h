#pragma once

#include <base/result.h>
#include <configlog/config_history.h>
#include <configlog/config_record.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chivewharf::configlog {

/// Configuration of one process, from the log or from a peer, whichever has the higher version. The
/// version never decreases. At the same version, content from the log replaces content from a peer.
class config_follower {
public:
    explicit config_follower(std::string site) : site_(std::move(site)) {}

    /// Adopts the record in force. Call after records were applied to the history.
    /// \return true if the settings changed and must be applied; `site_missing` if the record
    ///     has no settings for this site, in which case the previous settings stay in force
    result<bool, configlog_error> on_history(const config_history& history);

    /// True if the record of a peer that announced this version should be requested.
    bool wants(std::int64_t announced) const noexcept { return announced > version(); }

    /// Adopts a record from a peer.
    /// \return success if the record is now in force; otherwise `malformed`, `too_large`,
    ///     `not_newer`, `content_invalid`, `fixed_setting` or `site_missing`
    result<void, configlog_error> offer_from_peer(std::string_view data);

    /// Version in force in this process; 0 if none.
    std::int64_t version() const noexcept { return current_ ? current_->record.version : 0; }

    /// True once the log or a peer has provided a configuration.
    bool ready() const noexcept { return current_.has_value(); }

    /// Settings in force. Precondition: `ready`.
    const settings::cluster_settings& settings() const { return current_->sites->at(site_); }

    /// Encoded record in force, to answer a peer's request; empty if not `ready`.
    std::string record_data() const { return current_ ? encode(current_->record) : std::string{}; }

    /// Number of times that a peer's content differed from the log's at the same version.
    std::uint64_t content_conflicts() const noexcept { return content_conflicts_; }

private:
    struct state {
        config_record record;
        site_settings_ptr sites;
    };

    result<void, configlog_error> adopt(const config_record& record, site_settings_ptr sites);

    std::string site_;
    std::optional<state> current_;
    std::uint64_t content_conflicts_ = 0;
};

} // namespace chivewharf::configlog
