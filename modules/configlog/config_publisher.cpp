#include <configlog/config_publisher.h>

namespace chivewharf::configlog {

namespace {

auto refuse(configlog_errc code, std::string message)
{
    return unexpected(configlog_error{code, std::move(message)});
}

} // namespace

result<std::string, configlog_error> config_publisher::publish(config_record record,
                                                               std::int64_t expected,
                                                               const config_history& history)
{
    if (pending())
        return refuse(configlog_errc::publish_pending, "record " + record_id_ + " is not decided");
    if (history.version() != expected || history.has_gap())
        return refuse(configlog_errc::conflict,
                      "version " + std::to_string(history.version()) + " is in force");
    record.republication = false;
    record.original_id.clear();
    record.based_on = expected;
    record.version = expected + 1;
    const auto sites = parse_sites(record);
    if (!sites)
        return refuse(configlog_errc::content_invalid, settings::to_text(sites.error()));
    if (const auto* current = history.in_force()) {
        const auto changes = fixed_changes({current->record, *current->sites}, {record, **sites});
        if (!changes.empty())
            return refuse(configlog_errc::fixed_setting,
                          changes.front().key_path + " cannot change at run time");
    }
    auto data = encode(record);
    if (const auto decoded = decode(data); !decoded)
        return unexpected(decoded.error());
    *this = config_publisher{};
    state_ = publish_state::appending;
    record_id_ = std::move(record.record_id);
    version_ = record.version;
    data_ = std::move(data);
    return data_;
}

void config_publisher::on_append(append_outcome outcome)
{
    if (state_ != publish_state::appending)
        return;
    state_ = publish_state::reading;
    may_retry_ = outcome == append_outcome::not_written;
}

void config_publisher::on_entry(const history_entry& entry)
{
    if (!pending())
        return;
    if (entry.publication_id == record_id_) {
        const bool won = entry.decision == verdict::in_force ||
                         entry.decision == verdict::republished ||
                         entry.decision == verdict::duplicate;
        // After a gap a stale copy is no evidence: an earlier copy may have won and been removed
        // from the log since.
        if (won && !gap_)
            end(publish_state::published, {});
        else if (!won && !gap_)
            end(entry.decision == verdict::stale ? publish_state::lost : publish_state::rejected,
                entry.detail);
    }
    else if (!gap_ && entry.decision == verdict::in_force && entry.version >= version_)
        end(publish_state::lost, "record " + entry.record_id + " by " + entry.author + " won");
}

void config_publisher::on_caught_up(const config_history& history)
{
    if (!pending())
        return;
    const auto* current = history.in_force();
    if (current != nullptr && current->record.version >= version_) {
        if (current->record.publication_id() == record_id_)
            end(publish_state::published, {});
        else if (current->record.version == version_)
            end(publish_state::lost, "record " + current->record.publication_id() + " won");
        else
            end(publish_state::unknown, "the log forgot the records of the version");
        return;
    }
    gap_ = false;
    may_retry_ = state_ == publish_state::reading;
}

std::optional<std::string> config_publisher::retry()
{
    if (state_ != publish_state::reading || !may_retry_)
        return std::nullopt;
    state_ = publish_state::appending;
    may_retry_ = false;
    return data_;
}

void config_publisher::end(publish_state state, std::string detail)
{
    state_ = state;
    detail_ = std::move(detail);
}

} // namespace chivewharf::configlog
