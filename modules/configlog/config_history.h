#pragma once

#include <base/time.h>
#include <configlog/config_record.h>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace chivewharf::configlog {

/// What the fold decided about a record.
enum class verdict : std::uint8_t {
    in_force,        ///< the version is in force from this record on
    republished,     ///< keeps the version in force inside the retention
    duplicate,       ///< a copy of the record in force; no effect
    stale,           ///< not based on the version in force, or republishes another one
    content_invalid, ///< the settings do not pass the check
    fixed_setting,   ///< changes a setting that cannot change at run time
    content_differs, ///< a republication whose content is not that of the version in force
    malformed,       ///< not a record
};

/// Line of the history that operators see.
struct history_entry {
    std::uint64_t offset = 0;
    wall_ms time = 0; ///< of the append, by the platform's clock
    std::int64_t version = 0;
    std::string record_id;
    std::string publication_id;
    std::string author;
    verdict decision = verdict::malformed;
    std::string detail; ///< why a record was rejected
};

/// Record in force and its newest copy in the log.
struct record_in_force {
    config_record record;
    site_settings_ptr sites;  ///< parsed settings of the record
    std::uint64_t offset = 0; ///< of the newest publication or republication
    wall_ms time = 0;         ///< append time of the newest copy
};

/// Fold of the configuration stream in log order. Every reader that reaches the same offset has the
/// same version and content in force, wherever it started.
///
/// From offset 0 a publication is valid if it is based on the version in force. A reader whose
/// start was forgotten by the log does not know that version. The first record that it can read may
/// be a loser whose winner was forgotten, so it takes the highest version instead, prefers the
/// content of a republication, and shows the result only once it has read to the end. Both rules
/// agree because a publisher bases a record only on a version that it saw in force, and because
/// republication keeps a copy of the version in force in the log.
class config_history {
public:
    /// Call for each answer of the log, before its records are applied.
    /// \param from offset that was asked for
    /// \param first oldest offset that the log still has
    void on_read(std::uint64_t from, std::uint64_t first);

    /// Applies the record at the offset. Offsets that were applied before are ignored and return
    /// nothing.
    std::optional<history_entry> apply(std::uint64_t offset, wall_ms time, std::string_view data);

    /// Call when the log has no record after the last one applied.
    void caught_up();

    /// Record in force; null before the first one, and from a forgotten start until `caught_up`.
    const record_in_force* in_force() const noexcept { return shown_ ? &*shown_ : nullptr; }

    /// Version in force; 0 if there is none.
    std::int64_t version() const noexcept { return shown_ ? shown_->record.version : 0; }

    /// Next offset to read.
    std::uint64_t next_offset() const noexcept { return next_offset_; }

    /// True while records that were forgotten may have mattered and the end is not yet reached.
    bool has_gap() const noexcept { return gap_; }

    /// The newest entries, oldest first.
    const std::deque<history_entry>& entries() const noexcept { return entries_; }

private:
    /// \param sites takes the parsed settings of a record that is accepted
    verdict decide(const config_record& record, site_settings_ptr& sites,
                   std::string& detail) const;
    verdict decide_republication(const config_record& record, site_settings_ptr& sites) const;
    void accept(config_record record, site_settings_ptr sites, std::uint64_t offset, wall_ms time);

    std::optional<record_in_force> folded_;
    std::optional<record_in_force> shown_;
    std::uint64_t next_offset_ = 0;
    bool gap_ = false;
    std::deque<history_entry> entries_;
};

} // namespace chivewharf::configlog

namespace chivewharf {

template <>
struct enum_names<configlog::verdict> {
    static constexpr std::array<std::string_view, 8> names{
        "in_force",        "republished",   "duplicate",       "stale",
        "content_invalid", "fixed_setting", "content_differs", "malformed"};
};

} // namespace chivewharf
