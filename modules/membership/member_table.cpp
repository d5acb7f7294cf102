#include <membership/member_table.h>

#include <algorithm>
#include <base/digest.h>
#include <limits>
#include <set>
#include <utility>

namespace chivewharf::membership {

namespace {

std::uint32_t to_ms32(duration d)
{
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(to_ms(d), 0, std::numeric_limits<std::uint32_t>::max()));
}

std::map<std::string, known_host, std::less<>> by_name(const std::vector<known_host>& hosts)
{
    std::map<std::string, known_host, std::less<>> named;
    for (const auto& host : hosts) {
        if (named.size() < max_hosts)
            named.emplace(host.host, host);
    }
    return named;
}

unexpected<membership_error> fail(membership_errc code, std::string text)
{
    return unexpected(membership_error{code, std::move(text)});
}

} // namespace

member_table::member_table(known_host self, incarnation_id incarnation, time_point now)
    : self_(std::move(self)), last_received_(now), last_tick_(now), next_heartbeat_(now),
      next_probe_(now), view_changed_(now)
{
    record& own = records_[self_.host];
    own.info = {self_.host, self_.address, incarnation, 1, member_state::live, now, now};
}

void member_table::set_configured_hosts(const std::vector<known_host>& hosts)
{
    configured_hosts_ = by_name(hosts);
}

void member_table::set_platform_hosts(const std::vector<known_host>& hosts)
{
    platform_hosts_ = by_name(hosts);
}

member_output member_table::tick(time_point now, rng& random)
{
    member_output out;
    compensate_for_pause(now);
    records_.at(self_.host).info.heard_at = now;
    rebuild_ring();
    update_watched(now);
    update_isolation(now, out);
    send_heartbeats(now, out);
    check_watched(now, out);
    probe(now, random, out);
    rebuild_ring();
    return out;
}

result<member_output, membership_error> member_table::receive(const known_host& sender,
                                                              incarnation_id incarnation,
                                                              const member_message& m,
                                                              time_point now)
{
    if (sender.domain != self_.domain)
        return fail(membership_errc::other_domain, sender.host + " is in domain " + sender.domain);
    if (sender.host == self_.host)
        return fail(membership_errc::own_name, "another process uses the name " + sender.host);
    if (records_.size() >= max_hosts && !records_.contains(sender.host))
        return fail(membership_errc::table_full, "no room for host " + sender.host);

    // This host may have been paused since its last tick, which must not count as silence of
    // others.
    compensate_for_pause(now);
    member_output out;
    auto [it, added] = records_.try_emplace(sender.host);
    record& from = it->second;
    if (added)
        from.info.host = sender.host;
    if (is_retired(sender.host, incarnation)) {
        return fail(membership_errc::superseded_sender,
                    "incarnation of " + sender.host + " was replaced");
    }
    from.info.address = sender.address;
    last_received_ = now;
    end_isolation(now);
    if (added || from.info.incarnation != incarnation) {
        replace_incarnation(from, incarnation, now, now, out);
        send_table(from, true, now, out);
    }
    if (const auto* beat = std::get_if<heartbeat>(&m))
        on_heartbeat(from, *beat, now, out);
    else
        on_report(from, std::get<member_report>(m), now, out);
    rebuild_ring();
    update_watched(now);
    return out;
}

std::vector<member> member_table::members() const
{
    std::vector<member> found;
    for (const auto& [name, r] : records_) {
        if (r.info.state != member_state::removed)
            found.push_back(r.info);
    }
    return found;
}

std::optional<member> member_table::find(std::string_view host) const
{
    const auto it = records_.find(host);
    return it == records_.end() ? std::nullopt : std::optional{it->second.info};
}

bool member_table::is_retired(std::string_view host, incarnation_id incarnation) const
{
    const auto it = records_.find(host);
    if (it == records_.end())
        return false;
    const auto& retired = it->second.retired;
    return std::find(retired.begin(), retired.end(), incarnation) != retired.end();
}

double member_table::weight(std::string_view host, time_point now) const
{
    const auto it = records_.find(host);
    if (it == records_.end() || it->second.info.state == member_state::removed)
        return 0;
    const double age = to_seconds(now - it->second.info.joined_at) / to_seconds(ramp_time);
    return std::clamp(ramp_start + (1 - ramp_start) * age, ramp_start, 1.0);
}

std::vector<known_host> member_table::hosts_of(std::string_view domain) const
{
    std::map<std::string_view, const known_host*> found;
    for (const auto* source : {&configured_hosts_, &platform_hosts_}) {
        for (const auto& [name, host] : *source) {
            if (host.domain == domain)
                found.emplace(name, &host);
        }
    }
    std::vector<known_host> hosts;
    hosts.reserve(found.size());
    for (const auto& [name, host] : found)
        hosts.push_back(*host);
    return hosts;
}

std::vector<known_host> member_table::links_to(std::string_view domain, std::size_t count) const
{
    auto hosts = hosts_of(domain);
    const auto rank = [&](const known_host& h) {
        return stable_hash(h.host, stable_hash(self_.host));
    };
    std::sort(hosts.begin(), hosts.end(),
              [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
    hosts.resize(std::min(hosts.size(), count));
    return hosts;
}

std::vector<std::string> member_table::other_domains() const
{
    std::set<std::string> found;
    for (const auto* source : {&configured_hosts_, &platform_hosts_}) {
        for (const auto& [name, host] : *source) {
            if (host.domain != self_.domain)
                found.insert(host.domain);
        }
    }
    return {found.begin(), found.end()};
}

report_entry member_table::entry_of(const record& r, time_point now) const
{
    const bool own = r.info.host == self_.host;
    return {self_.domain,
            r.info.host,
            r.info.address,
            r.info.incarnation,
            r.info.sequence,
            r.info.state,
            own ? 0 : to_ms32(now - r.info.heard_at),
            to_ms32(now - r.info.joined_at),
            r.retired};
}

member_report member_table::full_table(time_point now, bool sync) const
{
    member_report report;
    report.sync = sync;
    for (const auto& [name, r] : records_)
        report.entries.push_back(entry_of(r, now));
    return report;
}

// Includes suspected hosts, because a suspicion is local to the watchers. Excludes sequence
// numbers, because a temporary difference in them has no effect.
std::uint64_t member_table::view_hash() const
{
    std::uint64_t hash = 0;
    for (const auto& [name, r] : records_) {
        if (r.info.state != member_state::removed)
            hash ^= stable_hash(name, r.info.incarnation);
    }
    return hash;
}

bool member_table::is_peer(const record& r) const
{
    return r.info.state != member_state::removed && r.info.host != self_.host;
}

void member_table::rebuild_ring()
{
    if (!ring_changed_)
        return;
    std::vector<std::string> names;
    for (const auto& [name, r] : records_) {
        if (r.info.state != member_state::removed)
            names.push_back(name);
    }
    live_count_ = names.size();
    ring_.assign(std::move(names));
}

void member_table::update_watched(time_point now)
{
    if (!ring_changed_)
        return;
    ring_changed_ = false;
    view_changed_ = now;
    for (auto& [name, r] : records_) {
        const bool watch = is_peer(r) && ring_.is_successor(self_.host, name, watcher_count);
        if (watch && !r.watched)
            r.watched_since = now;
        r.watched = watch;
    }
}

void member_table::compensate_for_pause(time_point now)
{
    const auto gap = now - last_tick_;
    last_tick_ = std::max(last_tick_, now);
    if (gap <= pause_threshold)
        return;
    if (gap >= suspect_after + confirm_after) // the other hosts have removed this one
        records_.at(self_.host).info.joined_at = now;
    last_received_ += gap;
    for (auto& [name, r] : records_) {
        r.info.heard_at += gap;
        r.watched_since += gap;
        r.suspected_at += gap;
    }
}

void member_table::update_isolation(time_point now, member_output& out)
{
    const bool silent = live_count_ > 2 && now - last_received_ >= suspect_after;
    if (silent && !isolated_)
        out.events.push_back(
            {member_change::isolated, self_.host, records_.at(self_.host).info.incarnation});
    isolated_ = silent;
}

// Silence during the isolation is no evidence against the other hosts, so their timers restart.
void member_table::end_isolation(time_point now)
{
    if (!isolated_)
        return;
    isolated_ = false;
    records_.at(self_.host).info.joined_at = now;
    for (auto& [name, r] : records_) {
        r.watched_since = now;
        r.suspected_at = now;
        r.next_query = now;
    }
}

void member_table::send_heartbeats(time_point now, member_output& out)
{
    if (now < next_heartbeat_ || superseded_)
        return;
    next_heartbeat_ = std::max(next_heartbeat_ + heartbeat_period, now);
    const auto& own = records_.at(self_.host).info;
    const heartbeat beat{own.incarnation, own.sequence, view_hash()};
    for (auto& watcher : ring_.successors(self_.host, watcher_count))
        out.sends.push_back({std::move(watcher), beat});
}

void member_table::check_watched(time_point now, member_output& out)
{
    if (isolated_ && now - last_received_ < suspect_after + isolation_hold)
        return;
    for (auto& [name, r] : records_) {
        if (!is_peer(r))
            continue;
        if (r.info.state == member_state::live) {
            const auto since = std::max(r.info.heard_at, r.watched_since);
            if (!r.watched || now - since < suspect_after)
                continue;
            suspect(r, now, out);
        }
        if (now - r.suspected_at >= confirm_after) {
            set_removed(r, out);
            broadcast(entry_of(r, now), out);
        }
        else if (now >= r.next_query) {
            query_suspect(r, now, out);
        }
    }
}

void member_table::suspect(record& r, time_point now, member_output& out)
{
    r.info.state = member_state::suspected;
    r.suspected_at = now;
    r.next_query = now;
    out.events.push_back({member_change::suspected, r.info.host, r.info.incarnation});
}

void member_table::query_suspect(record& r, time_point now, member_output& out)
{
    r.next_query = now + query_interval;
    const member_report query{{entry_of(r, now)}, false};
    out.sends.push_back({r.info.host, query});
    for (auto& watcher : ring_.successors(r.info.host, watcher_count)) {
        if (watcher != self_.host)
            out.sends.push_back({std::move(watcher), query});
    }
}

void member_table::probe(time_point now, rng& random, member_output& out)
{
    if (now < next_probe_ || superseded_)
        return;
    next_probe_ = std::max(next_probe_ + probe_period, now);
    erase_unlisted(now);
    std::set<std::string_view> not_members;
    for (const auto* source : {&configured_hosts_, &platform_hosts_}) {
        for (const auto& [name, host] : *source) {
            if (host.domain == self_.domain && name != self_.host)
                not_members.insert(name);
        }
    }
    for (const auto& [name, r] : records_) {
        if (r.info.state == member_state::removed)
            not_members.insert(name);
        else
            not_members.erase(name);
    }
    if (not_members.empty())
        return;
    const auto pick =
        std::next(not_members.begin(), static_cast<std::ptrdiff_t>(random() % not_members.size()));
    member_report introduction{{entry_of(records_.at(self_.host), now)}, true};
    out.sends.push_back({std::string{*pick}, std::move(introduction)});
}

// Prevents hosts that never return from filling up the table.
void member_table::erase_unlisted(time_point now)
{
    std::erase_if(records_, [&](const auto& item) {
        const auto& [name, r] = item;
        return r.info.state == member_state::removed &&
               now - r.info.heard_at >= removed_retention && !configured_hosts_.contains(name) &&
               !platform_hosts_.contains(name);
    });
}

void member_table::send_table(record& to, bool sync, time_point now, member_output& out)
{
    if (now < to.next_sync)
        return;
    to.next_sync = now + sync_period;
    out.sends.push_back({to.info.host, full_table(now, sync)});
}

// Tells a host that this one regards it as removed. If it is live, it refutes that by answering
// with a higher sequence number.
void member_table::request_refutation(record& r, time_point now, member_output& out)
{
    if (now < r.next_query)
        return;
    r.next_query = now + query_interval;
    auto removal = entry_of(r, now);
    removal.state = member_state::removed;
    out.sends.push_back({r.info.host, member_report{{std::move(removal)}, false}});
}

void member_table::set_live(record& r, time_point joined_at, time_point heard_at,
                            member_change change, member_output& out)
{
    r.info.state = member_state::live;
    r.info.joined_at = joined_at;
    r.info.heard_at = heard_at;
    r.returned = change == member_change::returned;
    r.watched = false;
    ring_changed_ = true;
    out.events.push_back({change, r.info.host, r.info.incarnation});
}

void member_table::set_removed(record& r, member_output& out)
{
    r.info.state = member_state::removed;
    r.watched = false;
    ring_changed_ = true;
    out.events.push_back({member_change::removed, r.info.host, r.info.incarnation});
}

void member_table::broadcast(const report_entry& entry, member_output& out) const
{
    for (const auto& [name, r] : records_) {
        if (is_peer(r))
            out.sends.push_back({name, member_report{{entry}, false}});
    }
}

// Records a sign of life at time `at`. Ends a suspicion if it is more recent than the silence that
// caused it.
void member_table::record_contact(record& r, time_point at, member_output& out)
{
    r.info.heard_at = std::max(r.info.heard_at, at);
    if (r.info.state == member_state::suspected &&
        r.info.heard_at > r.suspected_at - suspect_after) {
        r.info.state = member_state::live;
        out.events.push_back({member_change::refuted, r.info.host, r.info.incarnation});
    }
}

void member_table::retire(record& r, incarnation_id incarnation)
{
    r.retired.push_back(incarnation);
    if (r.retired.size() > max_retired)
        r.retired.erase(r.retired.begin());
}

void member_table::replace_incarnation(record& r, incarnation_id incarnation, time_point joined_at,
                                       time_point heard_at, member_output& out)
{
    if (r.info.incarnation != 0)
        retire(r, r.info.incarnation);
    r.info.incarnation = incarnation;
    r.info.sequence = 0;
    set_live(r, joined_at, heard_at, member_change::joined, out);
}

void member_table::on_heartbeat(record& from, const heartbeat& beat, time_point now,
                                member_output& out)
{
    if (from.info.state == member_state::removed) {
        if (beat.sequence <= from.info.sequence) {
            request_refutation(from, now, out);
            return;
        }
        set_live(from, now, now, member_change::returned, out);
    }
    from.info.sequence = std::max(from.info.sequence, beat.sequence);
    record_contact(from, now, out);
    // A change may still be on its way to one side. If the views differ after a heartbeat period, a
    // message was lost.
    if (beat.view != view_hash() && now - view_changed_ >= heartbeat_period)
        send_table(from, true, now, out);
}

void member_table::on_report(record& from, const member_report& report, time_point now,
                             member_output& out)
{
    if (from.info.state != member_state::removed)
        record_contact(from, now, out);
    const bool table = report.entries.size() > 1;
    for (const auto& entry : report.entries) {
        if (entry.domain != self_.domain)
            continue;
        if (entry.host == self_.host)
            on_own_entry(from, entry, now, out);
        else
            on_entry(from, entry, table, now, out);
    }
    if (from.info.state == member_state::removed)
        request_refutation(from, now, out);
    if (report.sync)
        send_table(from, false, now, out);
}

void member_table::on_entry(record& from, const report_entry& entry, bool table, time_point now,
                            member_output& out)
{
    const auto heard_at = now - milliseconds{entry.silence_ms};
    const auto joined_at = now - milliseconds{entry.age_ms};
    auto it = records_.find(entry.host);
    if (it == records_.end()) {
        add_host(entry, now, out);
        return;
    }
    record& r = it->second;
    if (is_retired(entry.host, entry.incarnation))
        return;
    if (entry.incarnation != r.info.incarnation) {
        on_other_incarnation(r, entry, now, out);
        return;
    }
    if (entry.sequence < r.info.sequence) {
        // The sender of the report missed a refutation.
        if (entry.state != member_state::live && r.info.state == member_state::live)
            out.sends.push_back({from.info.host, member_report{{entry_of(r, now)}, false}});
        return;
    }
    const bool newer = entry.sequence > r.info.sequence;
    r.info.sequence = entry.sequence;
    const bool was_removed = r.info.state == member_state::removed;
    if (entry.state == member_state::removed) {
        if (!was_removed)
            on_removal(r, table, now, out);
    }
    else if (was_removed) {
        if (newer)
            set_live(r, now, heard_at, member_change::returned, out);
        else
            request_refutation(r, now, out);
    }
    else if (entry.state == member_state::suspected) {
        on_suspicion(from, r, entry, now, out);
    }
    else {
        record_contact(r, heard_at, out);
        if (&r == &from && !r.returned)
            r.info.joined_at = std::min(r.info.joined_at, joined_at);
    }
}

void member_table::add_host(const report_entry& entry, time_point now, member_output& out)
{
    if (records_.size() >= max_hosts)
        return;
    const auto joined_at = now - milliseconds{entry.age_ms};
    const auto heard_at = now - milliseconds{entry.silence_ms};
    record& r = records_[entry.host];
    r.info = {entry.host, entry.address, entry.incarnation, entry.sequence, member_state::removed,
              joined_at,  heard_at};
    r.retired = entry.retired;
    if (entry.state == member_state::removed)
        return;
    set_live(r, joined_at, heard_at, member_change::joined, out);
    // A host that has just started introduces itself to each member that it learns of.
    const auto& own = records_.at(self_.host);
    if (now - own.info.joined_at < ramp_time)
        out.sends.push_back({entry.host, member_report{{entry_of(own, now)}, false}});
}

void member_table::on_other_incarnation(record& r, const report_entry& entry, time_point now,
                                        member_output& out)
{
    // Unless the report lists the known incarnation as retired, the report may be the outdated one.
    const auto& retired = entry.retired;
    const bool replaces =
        std::find(retired.begin(), retired.end(), r.info.incarnation) != retired.end();
    if (entry.state == member_state::removed ||
        (!replaces && r.info.state != member_state::removed))
        return;
    replace_incarnation(r, entry.incarnation, now - milliseconds{entry.age_ms},
                        now - milliseconds{entry.silence_ms}, out);
    r.info.address = entry.address;
    r.info.sequence = entry.sequence;
}

// A single removal entry comes from the watcher that decided it. One in a full table may be the
// outdated view of a host that was disconnected, so it only raises a suspicion, which the host can
// refute.
void member_table::on_removal(record& r, bool table, time_point now, member_output& out)
{
    if (!table) {
        set_removed(r, out);
        return;
    }
    if (r.info.state == member_state::live)
        suspect(r, now, out);
    request_refutation(r, now, out);
}

void member_table::on_own_entry(record& from, const report_entry& entry, time_point now,
                                member_output& out)
{
    record& own = records_.at(self_.host);
    if (entry.incarnation != own.info.incarnation) {
        const auto& retired = entry.retired;
        const bool replaced =
            std::find(retired.begin(), retired.end(), own.info.incarnation) != retired.end();
        if (replaced && !superseded_) {
            superseded_ = true;
            out.events.push_back({member_change::superseded, self_.host, entry.incarnation});
        }
        if (!replaced && !is_retired(self_.host, entry.incarnation))
            retire(own, entry.incarnation);
        if (!replaced)
            out.sends.push_back({from.info.host, member_report{{entry_of(own, now)}, false}});
        return;
    }
    if (entry.state == member_state::live)
        return;
    const bool unrefuted = entry.sequence >= own.info.sequence;
    if (unrefuted)
        own.info.sequence = entry.sequence + 1;
    const bool to_all = unrefuted && entry.state == member_state::removed;
    if (to_all)
        broadcast(entry_of(own, now), out);
    if (!to_all || !is_peer(from))
        out.sends.push_back({from.info.host, member_report{{entry_of(own, now)}, false}});
}

// Handles a query from another watcher about a suspected host. This host confirms the suspicion
// only if it watches the host too and has received no sign of life itself.
void member_table::on_suspicion(record& from, record& subject, const report_entry& entry,
                                time_point now, member_output& out)
{
    record_contact(subject, now - milliseconds{entry.silence_ms}, out);
    const auto silence = now - subject.info.heard_at;
    const bool agrees =
        subject.watched && !isolated_ &&
        now - std::max(subject.info.heard_at, subject.watched_since) >= suspect_after;
    if (!agrees) {
        if (silence < suspect_after) {
            auto answer = entry_of(subject, now);
            answer.state = member_state::live;
            out.sends.push_back({from.info.host, member_report{{answer}, false}});
        }
        return;
    }
    set_removed(subject, out);
    broadcast(entry_of(subject, now), out);
}

} // namespace chivewharf::membership
