#include <configlog/config_history.h>

namespace chivewharf::configlog {

namespace {

constexpr std::size_t max_entries = 1000; // more than one day of changes (790)

} // namespace

void config_history::on_read(std::uint64_t from, std::uint64_t first)
{
    if (first > from && first > next_offset_) {
        gap_ = true;
        next_offset_ = first;
    }
}

std::optional<history_entry> config_history::apply(std::uint64_t offset, wall_ms time,
                                                   std::string_view data)
{
    if (offset < next_offset_)
        return std::nullopt;
    next_offset_ = offset + 1;
    history_entry entry{.offset = offset,
                        .time = time,
                        .version = 0,
                        .record_id = {},
                        .publication_id = {},
                        .author = {},
                        .decision = {},
                        .detail = {}};
    if (auto record = decode(data); !record) {
        entry.decision = verdict::malformed;
        entry.detail = record.error().message;
    }
    else {
        entry.version = record->version;
        entry.record_id = record->record_id;
        entry.publication_id = record->publication_id();
        entry.author = record->author;
        site_settings_ptr sites;
        entry.decision = decide(*record, sites, entry.detail);
        if (entry.decision == verdict::in_force || entry.decision == verdict::republished)
            accept(std::move(*record), std::move(sites), offset, time);
    }
    entries_.push_back(entry);
    if (entries_.size() > max_entries)
        entries_.pop_front();
    return entry;
}

void config_history::caught_up()
{
    gap_ = false;
    reported_ = accepted_;
}

verdict config_history::decide(const config_record& record, site_settings_ptr& sites,
                               std::string& detail) const
{
    const auto current = accepted_ ? accepted_->record.version : 0;
    if (accepted_ && !record.republication &&
        record.record_id == accepted_->record.publication_id())
        return verdict::duplicate;
    const bool same_version = accepted_ && record.version == current;
    if (record.republication && (same_version || !gap_))
        return same_version ? decide_republication(record, sites) : verdict::stale;
    // The record is a publication or, after a gap, a republication of another version.
    if (gap_ ? record.version <= current : record.based_on != current) {
        detail = "version " + std::to_string(current) + " is in force";
        return verdict::stale;
    }
    auto parsed = parse_sites(record);
    if (!parsed) {
        detail = settings::to_text(parsed.error());
        return verdict::content_invalid;
    }
    sites = std::move(*parsed);
    if (!accepted_)
        return verdict::in_force;
    const auto changes = fixed_changes({accepted_->record, *accepted_->sites}, {record, *sites});
    if (!changes.empty()) {
        detail = changes.front().key_path + " cannot change at run time";
        return verdict::fixed_setting;
    }
    return verdict::in_force;
}

verdict config_history::decide_republication(const config_record& record,
                                             site_settings_ptr& sites) const
{
    if (record.same_content(accepted_->record)) {
        sites = accepted_->sites;
        return verdict::republished;
    }
    // After a gap, the accepted record may be a publication that lost against one that the log has
    // removed. A republication has the content of the publication that won.
    if (!gap_)
        return verdict::content_differs;
    auto parsed = parse_sites(record);
    if (!parsed)
        return verdict::content_differs;
    sites = std::move(*parsed);
    return verdict::republished;
}

void config_history::accept(config_record record, site_settings_ptr sites, std::uint64_t offset,
                            wall_ms time)
{
    accepted_ = record_in_force{std::move(record), std::move(sites), offset, time};
    if (!gap_)
        reported_ = accepted_;
}

} // namespace chivewharf::configlog
