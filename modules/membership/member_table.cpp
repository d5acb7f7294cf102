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
    : self_(std::move(self)), last_heard_(now), last_tick_(now), next_heartbeat_(now),
      next_probe_(now), view_changed_(now)
{
    record& own = records_[self_.host];
    own.info = {self_.host, self_.address, incarnation, 1, member_state::live, now, now};
}

void member_table::set_configured_hosts(const std::vector<known_host>& seats)
{
    seats_ = by_name(seats);
}

void member_table::set_platform_hosts(const std::vector<known_host>& hosts)
{
    listed_ = by_name(hosts);
}

member_output member_table::tick(time_point now, rng& random)
{
    member_output out;
    forgive_own_pause(now);
    records_.at(self_.host).info.heard_at = now;
    rebuild_ring();
    refresh_watches(now);
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

    // This host may have been paused since its last tick; the timers must not see that as silence.
    forgive_own_pause(now);
    member_output out;
    auto [at, added] = records_.try_emplace(sender.host);
    record& from = at->second;
    if (added)
        from.info.host = sender.host;
    if (is_retired(sender.host, incarnation)) {
        return fail(membership_errc::superseded_sender,
                    "incarnation of " + sender.host + " was replaced");
    }
    from.info.address = sender.address;
    last_heard_ = now;
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
    refresh_watches(now);
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
    const auto at = records_.find(host);
    return at == records_.end() ? std::nullopt : std::optional{at->second.info};
}

bool member_table::is_retired(std::string_view host, incarnation_id incarnation) const
{
    const auto at = records_.find(host);
    if (at == records_.end())
        return false;
    const auto& retired = at->second.retired;
    return std::find(retired.begin(), retired.end(), incarnation) != retired.end();
}

double member_table::weight(std::string_view host, time_point now) const
{
    const auto at = records_.find(host);
    if (at == records_.end() || at->second.info.state == member_state::removed)
        return 0;
    const double age = to_seconds(now - at->second.info.joined_at) / to_seconds(ramp_time);
    return std::clamp(ramp_start + (1 - ramp_start) * age, ramp_start, 1.0);
}

std::vector<known_host> member_table::hosts_of(std::string_view domain) const
{
    std::map<std::string_view, const known_host*> found;
    for (const auto* source : {&seats_, &listed_}) {
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
    for (const auto* source : {&seats_, &listed_}) {
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

member_report member_table::whole_table(time_point now, bool sync) const
{
    member_report report;
    report.sync = sync;
    for (const auto& [name, r] : records_)
        report.entries.push_back(entry_of(r, now));
    return report;
}

// Suspected hosts count as members: a suspicion is local to the watchers. The sequence is left out,
// because it may differ for a moment without any effect.
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

void member_table::refresh_watches(time_point now)
{
    if (!ring_changed_)
        return;
    ring_changed_ = false;
    view_changed_ = now;
    for (auto& [name, r] : records_) {
        const bool watch = is_peer(r) && ring_.follows(self_.host, name, watcher_count);
        if (watch && !r.watched)
            r.watched_since = now;
        r.watched = watch;
    }
}

void member_table::forgive_own_pause(time_point now)
{
    const auto gap = now - last_tick_;
    last_tick_ = std::max(last_tick_, now);
    if (gap <= own_pause)
        return;
    if (gap >= suspect_after + confirm_after) // the others have removed this host
        records_.at(self_.host).info.joined_at = now;
    last_heard_ += gap;
    for (auto& [name, r] : records_) {
        r.info.heard_at += gap;
        r.watched_since += gap;
        r.suspected_at += gap;
    }
}

void member_table::update_isolation(time_point now, member_output& out)
{
    const bool silent = live_count_ > 2 && now - last_heard_ >= suspect_after;
    if (silent && !isolated_)
        out.events.push_back(
            {member_change::isolated, self_.host, records_.at(self_.host).info.incarnation});
    isolated_ = silent;
}

// What was not heard during the isolation says nothing about the others.
void member_table::end_isolation(time_point now)
{
    if (!isolated_)
        return;
    isolated_ = false;
    records_.at(self_.host).info.joined_at = now;
    for (auto& [name, r] : records_) {
        r.watched_since = now;
        r.suspected_at = now;
        r.next_question = now;
    }
}

void member_table::send_heartbeats(time_point now, member_output& out)
{
    if (now < next_heartbeat_ || superseded_)
        return;
    next_heartbeat_ = std::max(next_heartbeat_ + heartbeat_period, now);
    const auto& own = records_.at(self_.host).info;
    const heartbeat beat{own.incarnation, own.sequence, view_hash()};
    for (auto& watcher : ring_.next(self_.host, watcher_count))
        out.sends.push_back({std::move(watcher), beat});
}

void member_table::check_watched(time_point now, member_output& out)
{
    if (isolated_ && now - last_heard_ < suspect_after + isolation_hold)
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
        else if (now >= r.next_question) {
            ask(r, now, out);
        }
    }
}

void member_table::suspect(record& r, time_point now, member_output& out)
{
    r.info.state = member_state::suspected;
    r.suspected_at = now;
    r.next_question = now;
    out.events.push_back({member_change::suspected, r.info.host, r.info.incarnation});
}

void member_table::ask(record& r, time_point now, member_output& out)
{
    r.next_question = now + ask_again_after;
    const member_report question{{entry_of(r, now)}, false};
    out.sends.push_back({r.info.host, question});
    for (auto& watcher : ring_.next(r.info.host, watcher_count)) {
        if (watcher != self_.host)
            out.sends.push_back({std::move(watcher), question});
    }
}

void member_table::probe(time_point now, rng& random, member_output& out)
{
    if (now < next_probe_ || superseded_)
        return;
    next_probe_ = std::max(next_probe_ + probe_period, now);
    forget_unknown(now);
    std::set<std::string_view> absent;
    for (const auto* source : {&seats_, &listed_}) {
        for (const auto& [name, host] : *source) {
            if (host.domain == self_.domain && name != self_.host)
                absent.insert(name);
        }
    }
    for (const auto& [name, r] : records_) {
        if (r.info.state == member_state::removed)
            absent.insert(name);
        else
            absent.erase(name);
    }
    if (absent.empty())
        return;
    const auto pick =
        std::next(absent.begin(), static_cast<std::ptrdiff_t>(random() % absent.size()));
    member_report hello{{entry_of(records_.at(self_.host), now)}, true};
    out.sends.push_back({std::string{*pick}, std::move(hello)});
}

// A host that is gone for good must not fill the table.
void member_table::forget_unknown(time_point now)
{
    std::erase_if(records_, [&](const auto& item) {
        const auto& [name, r] = item;
        return r.info.state == member_state::removed && now - r.info.heard_at >= forget_after &&
               !seats_.contains(name) && !listed_.contains(name);
    });
}

void member_table::send_table(record& to, bool sync, time_point now, member_output& out)
{
    if (now < to.next_sync)
        return;
    to.next_sync = now + sync_period;
    out.sends.push_back({to.info.host, whole_table(now, sync)});
}

// Tells a host that it is held as removed. If it lives, it answers with a higher sequence number.
void member_table::challenge(record& r, time_point now, member_output& out)
{
    if (now < r.next_question)
        return;
    r.next_question = now + ask_again_after;
    auto claim = entry_of(r, now);
    claim.state = member_state::removed;
    out.sends.push_back({r.info.host, member_report{{std::move(claim)}, false}});
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

// Records a sign of life, which ends a suspicion if it is recent enough.
void member_table::heard(record& r, time_point at, member_output& out)
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
            challenge(from, now, out);
            return;
        }
        set_live(from, now, now, member_change::returned, out);
    }
    from.info.sequence = std::max(from.info.sequence, beat.sequence);
    heard(from, now, out);
    // A change needs a moment to reach both sides; after that, different views mean a lost message.
    if (beat.view != view_hash() && now - view_changed_ >= heartbeat_period)
        send_table(from, true, now, out);
}

void member_table::on_report(record& from, const member_report& report, time_point now,
                             member_output& out)
{
    if (from.info.state != member_state::removed)
        heard(from, now, out);
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
        challenge(from, now, out);
    if (report.sync)
        send_table(from, false, now, out);
}

void member_table::on_entry(record& from, const report_entry& entry, bool table, time_point now,
                            member_output& out)
{
    const auto heard_at = now - milliseconds{entry.silence_ms};
    const auto joined_at = now - milliseconds{entry.age_ms};
    auto at = records_.find(entry.host);
    if (at == records_.end()) {
        learn(entry, now, out);
        return;
    }
    record& r = at->second;
    if (is_retired(entry.host, entry.incarnation))
        return;
    if (entry.incarnation != r.info.incarnation) {
        on_other_incarnation(r, entry, now, out);
        return;
    }
    if (entry.sequence < r.info.sequence) {
        // The reporter missed a refutation.
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
            challenge(r, now, out);
    }
    else if (entry.state == member_state::suspected) {
        on_suspicion(from, r, entry, now, out);
    }
    else {
        heard(r, heard_at, out);
        if (&r == &from && !r.returned)
            r.info.joined_at = std::min(r.info.joined_at, joined_at);
    }
}

void member_table::learn(const report_entry& entry, time_point now, member_output& out)
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
    // A host that just started introduces itself to the members it learns of.
    const auto& own = records_.at(self_.host);
    if (now - own.info.joined_at < ramp_time)
        out.sends.push_back({entry.host, member_report{{entry_of(own, now)}, false}});
}

void member_table::on_other_incarnation(record& r, const report_entry& entry, time_point now,
                                        member_output& out)
{
    // Without our incarnation in its retired list, the reporter may be the one that is behind.
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

// A removal on its own is news from the watcher that decided it. One in a table may be the memory
// of a host that was cut off, so it only raises a suspicion, which the host can refute.
void member_table::on_removal(record& r, bool table, time_point now, member_output& out)
{
    if (!table) {
        set_removed(r, out);
        return;
    }
    if (r.info.state == member_state::live)
        suspect(r, now, out);
    challenge(r, now, out);
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
    const bool news = entry.sequence >= own.info.sequence;
    if (news)
        own.info.sequence = entry.sequence + 1;
    const bool to_all = news && entry.state == member_state::removed;
    if (to_all)
        broadcast(entry_of(own, now), out);
    if (!to_all || !is_peer(from))
        out.sends.push_back({from.info.host, member_report{{entry_of(own, now)}, false}});
}

// Another watcher asks about a host. This host agrees only if it has heard nothing itself.
void member_table::on_suspicion(record& from, record& subject, const report_entry& entry,
                                time_point now, member_output& out)
{
    heard(subject, now - milliseconds{entry.silence_ms}, out);
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
