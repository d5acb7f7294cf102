#include <fleet/host_directory.h>

namespace chivewharf::fleet {

bool host_directory::learn(const wire::host_record& record, time_point now)
{
    const auto [place, added] = hosts_.try_emplace(record.host);
    auto& host = place->second;
    if (added)
        host.link_changed = now;
    if (!added && host.record == record)
        return false;
    host.record = record;
    return true;
}

void host_directory::linked(const std::string& host, const std::string& domain,
                            std::uint64_t incarnation, time_point now)
{
    auto& view = hosts_[host];
    view.record.host = host;
    view.record.domain = domain;
    if (view.incarnation != incarnation)
        view.report.reset();
    view.incarnation = incarnation;
    view.linked = true;
    view.link_changed = now;
    view.last_heard = now;
}

void host_directory::unlinked(const std::string& host, time_point now)
{
    const auto found = hosts_.find(host);
    if (found == hosts_.end())
        return;
    found->second.linked = false;
    found->second.link_changed = now;
}

void host_directory::report(const std::string& host, wire::host_report report, time_point now)
{
    const auto found = hosts_.find(host);
    if (found == hosts_.end())
        return;
    found->second.report = std::move(report);
    found->second.last_heard = now;
}

void host_directory::message_received(const std::string& host, time_point now)
{
    const auto found = hosts_.find(host);
    if (found != hosts_.end())
        found->second.last_heard = now;
}

void host_directory::report_sent(const std::string& host, time_point now)
{
    const auto found = hosts_.find(host);
    if (found != hosts_.end())
        found->second.last_report_sent = now;
}

void host_directory::set_requesters(const std::set<std::string>& hosts)
{
    for (auto& [name, host] : hosts_)
        host.has_jobs_here = hosts.contains(name);
}

bool host_directory::silent(const host_view& host, time_point now) const
{
    const auto limit = host.reports_often() ? silence_limit : long_silence_limit;
    return host.linked && now - host.last_heard > limit;
}

bool host_directory::alive(const host_view& host, time_point now) const
{
    if (!host.report)
        return false;
    if (host.linked)
        return !silent(host, now);
    return now - host.link_changed < reconnect_grace;
}

const host_view* host_directory::find(const std::string& host) const
{
    const auto found = hosts_.find(host);
    return found == hosts_.end() ? nullptr : &found->second;
}

void host_directory::expire(time_point now)
{
    std::erase_if(hosts_, [&](const auto& one) {
        return !one.second.linked && now - one.second.link_changed > forget_after;
    });
}

std::vector<wire::host_record> host_directory::records() const
{
    std::vector<wire::host_record> all;
    for (const auto& [name, host] : hosts_) {
        if (!host.record.address.empty())
            all.push_back(host.record);
    }
    return all;
}

} // namespace chivewharf::fleet
