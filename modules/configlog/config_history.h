#pragma once

#include <base/time.h>
#include <configlog/config_record.h>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace chivewharf::configlog {

/// Decision on a record of the log.
enum class verdict : std::uint8_t {
    in_force,        ///< the record puts its version in force
    republished,     ///< renews the version in force within the log retention
    duplicate,       ///< a copy of the publication in force; no effect
    stale,           ///< not based on the version in force, or republishes another version
    content_invalid, ///< the settings are invalid
    fixed_setting,   ///< changes a setting that cannot be changed at run time
    content_differs, ///< a republication whose content differs from the version in force
    malformed,       ///< the data cannot be decoded
};

/// Entry of the history that is shown to operators.
struct history_entry {
    std::uint64_t offset = 0;
    wall_ms time = 0; ///< time of the append by the platform's clock
    std::int64_t version = 0;
    std::string record_id;
    std::string publication_id;
    std::string author;
    verdict decision = verdict::malformed;
    std::string detail; ///< reason why the record was rejected
};

/// Record in force and the position of its newest copy in the log.
struct record_in_force {
    config_record record;
    site_settings_ptr sites;  ///< parsed settings of the record
    std::uint64_t offset = 0; ///< offset of the newest publication or republication
    wall_ms time = 0;         ///< append time of the newest copy
};

/// Applies the configuration stream in log order. All readers that reach the same offset have the
/// same version and content in force, regardless of where they started.
///
/// For a reader that starts at offset 0, a publication is valid if it is based on the version in
/// force. If the log has already removed older records, the reader does not know that version, and
/// the first record that it can read may have lost against a record that was removed. Such a reader
/// therefore adopts the highest version, prefers the content of a republication, and reports a
/// version in force only after it has read to the end of the log. Readers with and without the
/// older records reach the same result because a publisher bases a record only on a version that it
/// saw in force, and because republication keeps a copy of the version in force in the log.
class config_history {
public:
    /// Call for each response of the log, before its records are applied.
    /// \param from requested offset
    /// \param first oldest offset that the log still holds
    void on_read(std::uint64_t from, std::uint64_t first);

    /// Applies the record at the offset.
    /// \return the entry of the record; empty if the offset was already applied
    std::optional<history_entry> apply(std::uint64_t offset, wall_ms time, std::string_view data);

    /// Call when all records of the log were applied.
    void caught_up();

    /// Record in force. Null before the first one and, if the log no longer holds its start, until
    /// `caught_up`.
    const record_in_force* in_force() const noexcept { return reported_ ? &*reported_ : nullptr; }

    /// Version in force; 0 if none.
    std::int64_t version() const noexcept { return reported_ ? reported_->record.version : 0; }

    /// Offset of the next record to read.
    std::uint64_t next_offset() const noexcept { return next_offset_; }

    /// True if records were removed from the log before they were read, until `caught_up`.
    bool has_gap() const noexcept { return gap_; }

    /// The most recent entries, oldest first.
    const std::deque<history_entry>& entries() const noexcept { return entries_; }

private:
    /// \param sites receives the parsed settings if the record is accepted
    verdict decide(const config_record& record, site_settings_ptr& sites,
                   std::string& detail) const;
    verdict decide_republication(const config_record& record, site_settings_ptr& sites) const;
    void accept(config_record record, site_settings_ptr sites, std::uint64_t offset, wall_ms time);

    std::optional<record_in_force> accepted_;
    std::optional<record_in_force> reported_;
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
