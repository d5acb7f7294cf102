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
    if (auto adopted = adopt(from_log->record, from_log->sites); !adopted)
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
    auto sites = parse_sites(*record);
    if (!sites)
        return refuse(configlog_errc::content_invalid, settings::to_text(sites.error()));
    if (current_) {
        const auto changes =
            fixed_changes({current_->record, *current_->sites}, {*record, **sites});
        if (!changes.empty())
            return refuse(configlog_errc::fixed_setting,
                          changes.front().key_path + " cannot change at run time");
    }
    return adopt(*record, std::move(*sites));
}

result<void, configlog_error> config_follower::adopt(const config_record& record,
                                                     site_settings_ptr sites)
{
    if (!sites->contains(site_)) {
        // A site without an overlay uses the base settings, if they name the site.
        auto parsed = settings_for(record, site_);
        if (!parsed)
            return refuse(configlog_errc::site_missing, settings::to_text(parsed.error()));
        auto with_site = std::make_shared<site_settings>(*sites);
        with_site->emplace(site_, std::move(*parsed));
        sites = std::move(with_site);
    }
    current_ = state{record, std::move(sites)};
    return {};
}

} // namespace chivewharf::configlog
