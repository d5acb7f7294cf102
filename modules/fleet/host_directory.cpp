#include <fleet/host_directory.h>

#include <algorithm>
#include <fleet/report_schedule.h>

namespace chivewharf::fleet {

namespace {

using lists_by_shard = std::map<wire::shard, shared_worker_list>;

/// The worker lists after a report: those that it tells, and the known ones that have not changed.
lists_by_shard worker_lists(const std::vector<wire::shard_claim>& claims,
                            const lists_by_shard& known)
{
    lists_by_shard lists;
    for (const auto& claim : claims) {
        if (!claim.workers.empty()) {
            lists[claim.shard] = std::make_shared<const worker_list>(
                worker_list{claim.worker_revision, {claim.workers.begin(), claim.workers.end()}});
            continue;
        }
        const auto found = known.find(claim.shard);
        if (found != known.end() && found->second->revision == claim.worker_revision)
            lists.insert(*found);
    }
    return lists;
}

} // namespace

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
    if (view.incarnation != incarnation) {
        view.report.reset();
        view.workers.clear();
        view.clock.reset();
    }
    view.worker_revision_sent = 0;
    view.incarnation = incarnation;
    view.linked = true;
    view.link_changed = now;
    view.last_heard = now;
    view.answered = now;
    view.probed.reset();
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
    found->second.workers = worker_lists(report.claims, found->second.workers);
    if (report.clock_ms != 0)
        found->second.clock.observe(report.clock_ms, now);
    found->second.report = std::move(report);
    found->second.reported = now;
    found->second.last_heard = now;
}

void host_directory::message_received(const std::string& host, time_point now)
{
    const auto found = hosts_.find(host);
    if (found != hosts_.end())
        found->second.last_heard = now;
}

void host_directory::answer_received(const std::string& host, time_point now)
{
    const auto found = hosts_.find(host);
    if (found == hosts_.end())
        return;
    found->second.answered = now;
    found->second.probed.reset();
}

bool host_directory::probe_due(const host_view& host, time_point now) const
{
    return host.linked && host.jobs_there_since && !host.probed &&
           now - std::max(host.answered, *host.jobs_there_since) >= probe_delay;
}

void host_directory::probe_sent(const std::string& host, time_point now)
{
    const auto found = hosts_.find(host);
    if (found != hosts_.end())
        found->second.probed = now;
}

bool host_directory::unanswered(const host_view& host, time_point now) const
{
    return host.linked && host.probed && now - *host.probed > probe_limit;
}

void host_directory::report_sent(const std::string& host, std::uint64_t worker_revision,
                                 time_point now)
{
    const auto found = hosts_.find(host);
    if (found == hosts_.end())
        return;
    found->second.last_report_sent = now;
    found->second.worker_revision_sent = worker_revision;
}

void host_directory::set_requesters(const std::set<std::string>& hosts)
{
    for (auto& [name, host] : hosts_)
        host.has_jobs_here = hosts.contains(name);
}

void host_directory::set_owners_with_jobs(const std::set<std::string>& hosts, time_point now)
{
    for (auto& [name, host] : hosts_) {
        if (!hosts.contains(name))
            host.jobs_there_since.reset();
        else if (!host.jobs_there_since)
            host.jobs_there_since = now;
    }
}

std::optional<duration> host_directory::expected_silence(const host_view& host) const
{
    return silence_limit({same_domain(host), host.owns(), host.shares_jobs()});
}

bool host_directory::silent(const host_view& host, time_point now) const
{
    const auto limit = expected_silence(host);
    // The first job changes the interval at which an owner reports.
    const auto heard = std::max(host.last_heard, host.jobs_there_since.value_or(time_point{}));
    return host.linked && limit && now - heard > *limit;
}

bool host_directory::alive(const host_view& host, time_point now) const
{
    if (!host.report)
        return false;
    if (!host.linked)
        return now - host.link_changed < reconnect_grace;
    return !silent(host, now) &&
           (expected_silence(host) || now - host.last_heard <= long_silence_limit);
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
