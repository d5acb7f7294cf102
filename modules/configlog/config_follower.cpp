#include <configlog/config_follower.h>

namespace chivewharf::configlog {

namespace {

auto refuse(configlog_errc code, std::string message)
{
    return unexpected(configlog_error{code, std::move(message)});
}

} // namespace

result<bool, configlog_error> config_follower::on_history(const config_history& history)
{
    const auto* from_log = history.in_force();
    if (from_log == nullptr || from_log->record.version < version())
        return false;
    if (current_ && from_log->record.version == version()) {
        if (current_->record.same_content(from_log->record))
            return false;
        ++content_conflicts_;
    }
    if (auto adopted = adopt(from_log->record); !adopted)
        return unexpected(std::move(adopted.error()));
    return true;
}

result<void, configlog_error> config_follower::offer_from_peer(std::string_view data)
{
    auto record = decode(data);
    if (!record)
        return unexpected(std::move(record.error()));
    if (record->version <= version())
        return refuse(configlog_errc::not_newer,
                      "version " + std::to_string(version()) + " is in force");
    if (const auto errors = check_content(*record); !errors.empty())
        return refuse(configlog_errc::content_invalid, settings::to_text(errors));
    if (current_) {
        if (const auto changes = fixed_changes(current_->record, *record); !changes.empty())
            return refuse(configlog_errc::fixed_setting,
                          changes.front().key_path + " cannot change at run time");
    }
    return adopt(*record);
}

result<void, configlog_error> config_follower::adopt(const config_record& record)
{
    auto parsed = settings_for(record, site_);
    if (!parsed)
        return refuse(configlog_errc::site_missing, settings::to_text(parsed.error()));
    current_ = state{record, std::move(*parsed)};
    return {};
}

} // namespace chivewharf::configlog
