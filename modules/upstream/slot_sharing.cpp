#include <upstream/slot_sharing.h>

#include <algorithm>
#include <cmath>

namespace chivewharf::upstream {

namespace {

duration fraction_of(duration whole, double share)
{
    return from_seconds(to_seconds(whole) * share);
}

// Exponential back-off; jitter adds up to half of it.
duration jittered_backoff(duration first, duration max_wait, std::uint32_t refusals, rng& random)
{
    auto wait = first;
    for (std::uint32_t i = 0; i < refusals && wait < max_wait; ++i)
        wait *= 2;
    wait = std::min(wait, max_wait);
    return wait + uniform_duration(random, wait / 2);
}

} // namespace

slot_sharing::slot_sharing(worker_pool& pool, std::string self, std::uint64_t first_number,
                           sharing_options options)
    : pool_(pool), self_(std::move(self)), options_(options), next_number_(first_number)
{
}

void slot_sharing::set_members(time_point now, std::vector<member> members)
{
    for (auto& m : members)
        m.live = m.live || m.host == self_;
    const auto previous = std::exchange(homes_, home_map{std::move(members)});
    std::erase_if(borrowed_, [&](const auto& grant) { return !homes_.live(grant.first.first); });
    std::erase_if(sent_requests_,
                  [&](const auto& request) { return !homes_.live(request.second.to); });
    rebuild(now, previous.members().empty() ? nullptr : &previous);
}

void slot_sharing::workers_changed(time_point now)
{
    rebuild(now, nullptr);
}

void slot_sharing::rebuild(time_point now, const home_map* previous)
{
    own_workers_.clear();
    lenders_.clear();
    const auto wait = options_.lease + options_.margin;
    for (const auto id : pool_.workers()) {
        const auto& config = pool_.config(id);
        const auto host = homes_.home(config.name);
        if (is_own(config.name)) {
            own_workers_[config.service].push_back(config.name);
            const auto old_home = previous ? previous->home(config.name) : std::string_view{};
            const bool used_by_old_home = options_.split != capacity_split::uncoordinated;
            if (used_by_old_home && !old_home.empty() && old_home != self_ && homes_.live(old_home))
                usable_from_.insert_or_assign(config.name, now + wait);
        }
        else {
            lenders_[config.service].emplace(host);
            usable_from_.erase(config.name);
        }
        apply_share(now, config.name);
    }
}

bool slot_sharing::is_own(std::string_view worker) const
{
    if (options_.split == capacity_split::uncoordinated)
        return true;
    const auto host = homes_.home(worker);
    return host.empty() || host == self_;
}

std::uint32_t slot_sharing::own_share(time_point now, const std::string& worker, worker_id id) const
{
    const auto moved = usable_from_.find(worker);
    if (moved != usable_from_.end() && now < moved->second)
        return 0;
    const auto lent = lent_slots_.find(worker);
    const auto full = pool_.full_slots(id);
    return lent == lent_slots_.end() ? full : full - std::min(full, lent->second);
}

void slot_sharing::apply_share(time_point now, const std::string& worker)
{
    const auto id = pool_.find(worker);
    if (!id)
        return;
    if (is_own(worker)) {
        pool_.set_share(*id, own_share(now, worker, *id));
        return;
    }
    std::uint32_t slots = 0;
    std::optional<time_point> lease_end;
    for (const auto& [key, grant] : borrowed_) {
        if (grant.worker != worker || now >= grant.lease_end)
            continue;
        slots += grant.slots;
        lease_end = lease_end ? std::min(*lease_end, grant.lease_end) : grant.lease_end;
    }
    pool_.set_share(*id, slots, lease_end.value_or(now));
}

void slot_sharing::set_backlog(std::string_view service, std::uint32_t tasks)
{
    const auto found = backlog_.find(service);
    if (found != backlog_.end())
        found->second = tasks;
    else
        backlog_.emplace(service, tasks);
}

std::vector<outgoing_slot_message> slot_sharing::tick(time_point now, rng& random)
{
    drop_expired(now);
    handle_timeouts(now, random);
    update_usage();
    std::vector<outgoing_slot_message> out;
    add_returns(now, out);
    add_leave_notices(now, out);
    add_renewals(now, out);
    if (options_.split == capacity_split::grants)
        add_requests(now, random, out);
    return out;
}

void slot_sharing::drop_expired(time_point now)
{
    for (auto next = lent_.begin(); next != lent_.end();) {
        const auto grant = next++;
        if (now < grant->second.reusable)
            continue;
        ++counters_.expired_lent;
        const auto worker = grant->second.worker;
        shrink_lent(grant, 0);
        apply_share(now, worker);
    }
    for (auto next = borrowed_.begin(); next != borrowed_.end();) {
        const auto& grant = next->second;
        const auto kept = grant.recalled ? pool_.options().borrowed_run_limit : duration{0};
        if (now < grant.lease_end + kept) {
            ++next;
            continue;
        }
        ++counters_.expired_borrowed;
        const auto worker = next->second.worker;
        next = borrowed_.erase(next);
        apply_share(now, worker);
    }
    for (auto next = usable_from_.begin(); next != usable_from_.end();) {
        if (now < next->second) {
            ++next;
            continue;
        }
        const auto worker = next->first;
        next = usable_from_.erase(next);
        apply_share(now, worker);
    }
    std::erase_if(sent_requests_,
                  [&](const auto& s) { return now - s.second.sent_at >= options_.lease; });
}

void slot_sharing::shrink_lent(std::map<std::uint64_t, lent_grant>::iterator grant,
                               std::uint32_t slots)
{
    const auto kept = std::min(slots, grant->second.slots);
    auto& lent = lent_slots_[grant->second.worker];
    lent -= grant->second.slots - kept;
    if (lent == 0)
        lent_slots_.erase(grant->second.worker);
    grant->second.slots = kept;
    if (kept == 0)
        lent_.erase(grant);
}

std::uint32_t slot_sharing::lendable(worker_id worker) const
{
    const auto share = pool_.share(worker);
    const auto running = pool_.running(worker);
    if (pool_.state(worker) != worker_state::usable || pool_.usable_slots(worker) != share)
        return 0;
    return share - std::min(share, running);
}

std::uint32_t slot_sharing::spare(std::string_view service) const
{
    const auto own = own_workers_.find(service);
    if (own == own_workers_.end())
        return 0;
    std::uint32_t slots = 0;
    for (const auto& worker : own->second) {
        if (const auto id = pool_.find(worker))
            slots += lendable(*id);
    }
    const auto backlog = backlog_.find(service);
    return slots - std::min(slots, backlog == backlog_.end() ? 0 : backlog->second);
}

slot_grant slot_sharing::on_request(time_point now, std::string_view from,
                                    const slot_request& message)
{
    drop_expired(now);
    slot_grant answer{.request = message.request,
                      .service = message.service,
                      .lease = options_.lease,
                      .granted = {},
                      .renewed = renew(now, from, message.renew),
                      .spare = 0};
    if (message.slots > 0) {
        answer.granted = lend(now, from, message.service, message.slots);
        ++(answer.granted.empty() ? counters_.refusals : counters_.grants);
    }
    answer.spare = spare(message.service);
    return answer;
}

std::vector<granted_slots> slot_sharing::renew(time_point now, std::string_view from,
                                               const std::vector<granted_slots>& wanted)
{
    std::vector<granted_slots> renewed;
    // A lender with a backlog of its own does not renew; otherwise an overloaded borrower would
    // keep the slots indefinitely.
    const auto backlogged = [&](const std::string& service) {
        const auto backlog = backlog_.find(service);
        return backlog != backlog_.end() && backlog->second > 0;
    };
    for (const auto& w : wanted) {
        const auto grant = lent_.find(w.grant);
        if (grant == lent_.end() || grant->second.to != from || now >= grant->second.expires)
            continue;
        const auto worker = grant->second.worker;
        const auto id = pool_.find(worker);
        if (!id || !is_own(worker) || backlogged(pool_.config(*id).service) ||
            pool_.state(*id) > worker_state::probing)
            continue;
        const auto slots = std::min(w.slots, grant->second.slots);
        if (slots < grant->second.slots)
            shrink_lent(grant, slots);
        if (slots > 0) {
            grant->second.expires = now + options_.lease + options_.margin;
            grant->second.reusable = grant->second.expires + pool_.options().borrowed_run_limit;
            renewed.push_back({w.grant, worker, slots});
        }
        apply_share(now, worker);
    }
    return renewed;
}

std::vector<granted_slots> slot_sharing::lend(time_point now, std::string_view from,
                                              const std::string& service, std::uint32_t wanted)
{
    const auto max_slots =
        static_cast<std::uint32_t>(std::ceil(spare(service) * options_.lend_fraction));
    auto remaining = std::min({wanted, max_slots, options_.max_slots_per_request});
    std::vector<std::pair<std::uint32_t, worker_id>> workers;
    if (const auto own = own_workers_.find(service); remaining > 0 && own != own_workers_.end()) {
        for (const auto& name : own->second) {
            const auto id = pool_.find(name);
            if (id && lendable(*id) > 0)
                workers.emplace_back(lendable(*id), *id);
        }
    }
    std::sort(workers.begin(), workers.end(),
              [](const auto& a, const auto& b) { return a.first > b.first; });
    std::vector<granted_slots> granted;
    const auto expires = now + options_.lease + options_.margin;
    for (const auto& [slots, id] : workers) {
        if (remaining == 0)
            break;
        const auto n = std::min(slots, remaining);
        remaining -= n;
        const auto& name = pool_.config(id).name;
        const auto number = next_number_++;
        lent_.emplace(number, lent_grant{std::string{from}, name, n, expires,
                                         expires + pool_.options().borrowed_run_limit});
        lent_slots_[name] += n;
        granted.push_back({number, name, n});
        apply_share(now, name);
    }
    return granted;
}

void slot_sharing::on_grant(time_point now, std::string_view from, const slot_grant& message,
                            rng& random)
{
    const auto sent = sent_requests_.find(message.request);
    if (sent == sent_requests_.end() || sent->second.to != from)
        return;
    const auto request = sent->second;
    sent_requests_.erase(sent);
    const auto lease_end = request.sent_at + message.lease;
    auto& peer = peers_[{request.to, request.service}];
    peer.spare = message.spare;
    if (request.slots > 0 && message.granted.empty()) {
        back_off(now, request, random);
    }
    else if (request.slots > 0) {
        peer.refusals = 0;
        service_backoffs_[request.service].refusals = 0;
    }
    if (now >= lease_end)
        return;
    const auto renew_at = request.sent_at + fraction_of(message.lease, options_.renew_after);
    for (const auto& slots : message.renewed) {
        const auto held = borrowed_.find({request.to, slots.grant});
        if (held == borrowed_.end())
            continue;
        held->second.lease_end = std::max(held->second.lease_end, lease_end);
        held->second.renew_at = renew_at;
        apply_share(now, slots.worker);
    }
    for (const auto grant : request.renewals) {
        const auto held = borrowed_.find({request.to, grant});
        const bool renewed = std::any_of(message.renewed.begin(), message.renewed.end(),
                                         [&](const auto& slots) { return slots.grant == grant; });
        if (held == borrowed_.end() || renewed)
            continue;
        held->second.recalled = true;
        held->second.lease_end = std::min(held->second.lease_end, now);
        apply_share(now, held->second.worker);
    }
    for (const auto& slots : message.granted) {
        borrowed_.emplace(grant_key{request.to, slots.grant},
                          borrowed_grant{.worker = slots.worker,
                                         .service = request.service,
                                         .slots = slots.slots,
                                         .lease_end = lease_end,
                                         .renew_at = renew_at,
                                         .window_start = now});
        apply_share(now, slots.worker);
    }
}

void slot_sharing::on_return(time_point now, std::string_view from, const slot_return& message)
{
    for (const auto& worker : message.leaving) {
        if (const auto id = pool_.find(worker))
            pool_.header_leaving(*id, now);
    }
    for (const auto& slots : message.slots) {
        const auto grant = lent_.find(slots.grant);
        if (grant == lent_.end() || grant->second.to != from)
            continue;
        const auto worker = grant->second.worker;
        shrink_lent(grant, slots.slots);
        apply_share(now, worker);
    }
}

void slot_sharing::note_leaving(time_point now, const std::string& worker)
{
    leaving_.try_emplace(worker, leave_notice{now, now + options_.leave_notice_period});
}

void slot_sharing::add_leave_notices(time_point now, std::vector<outgoing_slot_message>& out)
{
    std::map<std::string, slot_return> notices;
    for (auto next = leaving_.begin(); next != leaving_.end();) {
        auto& [worker, notice] = *next;
        const auto home = homes_.home(worker);
        if (now >= notice.until || home.empty() || home == self_) {
            next = leaving_.erase(next);
            continue;
        }
        if (now >= notice.next) {
            notice.next = now + options_.leave_notice_interval;
            notices[std::string{home}].leaving.push_back(worker);
        }
        ++next;
    }
    for (auto& [to, message] : notices)
        out.push_back({to, std::move(message)});
}

void slot_sharing::update_usage()
{
    std::map<std::string_view, std::uint32_t> running;
    for (auto& [key, grant] : borrowed_) {
        const auto id = pool_.find(grant.worker);
        auto& remaining =
            running.try_emplace(grant.worker, id ? pool_.running(*id) : 0).first->second;
        grant.in_use = std::min(remaining, grant.slots);
        remaining -= grant.in_use;
        grant.peak = std::max(grant.peak, grant.in_use);
    }
}

void slot_sharing::add_returns(time_point now, std::vector<outgoing_slot_message>& out)
{
    std::map<std::string, slot_return> returns;
    for (auto next = borrowed_.begin(); next != borrowed_.end();) {
        const auto held = next++;
        auto& grant = held->second;
        const bool usable = pool_.find(grant.worker).has_value();
        if (usable && !grant.recalled && now - grant.window_start < options_.idle_return)
            continue;
        const auto backlog = backlog_.find(grant.service);
        const bool wanted =
            usable && !grant.recalled && backlog != backlog_.end() && backlog->second > 0;
        const auto keep = grant.recalled ? std::min(grant.in_use, grant.slots)
                          : wanted       ? grant.slots
                                         : grant.peak;
        grant.window_start = now;
        grant.peak = grant.in_use;
        if (keep == grant.slots)
            continue;
        returns[held->first.first].slots.push_back({held->first.second, grant.worker, keep});
        grant.slots = keep;
        const auto worker = grant.worker;
        if (keep == 0)
            borrowed_.erase(held);
        apply_share(now, worker);
    }
    for (auto& [to, message] : returns) {
        ++counters_.returns;
        out.push_back({to, std::move(message)});
    }
}

void slot_sharing::add_renewals(time_point now, std::vector<outgoing_slot_message>& out)
{
    using peer_service = std::pair<std::string, std::string>;
    std::map<peer_service, bool> due;
    for (const auto& [key, grant] : borrowed_) {
        if (grant.renew_at <= now && !grant.recalled)
            due.emplace(peer_service{key.first, grant.service}, true);
    }
    for (const auto& [target, unused] : due) {
        slot_request request{
            .request = next_number_++, .service = target.second, .slots = 0, .renew = {}};
        for (auto& [key, grant] : borrowed_) {
            if (key.first != target.first || grant.service != target.second || grant.recalled)
                continue;
            request.renew.push_back({key.second, grant.worker, grant.slots});
            grant.renew_at = now + fraction_of(options_.lease, options_.renew_after / 2);
        }
        sent_request sent{target.first, target.second, now, 0, false};
        for (const auto& slots : request.renew)
            sent.renewals.push_back(slots.grant);
        sent_requests_.emplace(request.request, std::move(sent));
        ++counters_.renewals;
        out.push_back({target.first, std::move(request)});
    }
}

void slot_sharing::add_requests(time_point now, rng& random,
                                std::vector<outgoing_slot_message>& out)
{
    for (const auto& [service, backlog] : backlog_) {
        std::uint32_t wanted = backlog;
        std::uint32_t unanswered = 0;
        for (const auto& [number, request] : sent_requests_) {
            if (request.service != service || request.slots == 0 ||
                now - request.sent_at >= options_.request_timeout)
                continue;
            ++unanswered;
            wanted -= std::min(wanted, request.slots);
        }
        if (now < service_backoffs_[service].not_before)
            continue;
        for (; wanted > 0 && unanswered < options_.max_requests_in_flight; ++unanswered) {
            const auto peer = next_peer(now, service, random);
            if (!peer)
                break;
            const auto slots = std::min(wanted, options_.max_slots_per_request);
            wanted -= slots;
            const auto number = next_number_++;
            sent_requests_.emplace(number, sent_request{*peer, service, now, slots, false});
            ++counters_.requests;
            out.push_back({*peer, slot_request{number, service, slots, {}}});
        }
    }
}

std::optional<std::string> slot_sharing::next_peer(time_point now, const std::string& service,
                                                   rng& random)
{
    const auto lenders = lenders_.find(service);
    if (lenders == lenders_.end())
        return std::nullopt;
    std::optional<std::string> best;
    std::pair<std::uint32_t, std::uint64_t> best_key;
    for (const auto& host : lenders->second) {
        auto& peer = peers_[{host, service}];
        const bool asked =
            std::any_of(sent_requests_.begin(), sent_requests_.end(), [&](const auto& s) {
                return s.second.to == host && s.second.service == service && s.second.slots > 0 &&
                       now - s.second.sent_at < options_.request_timeout;
            });
        if (asked || now < peer.not_before)
            continue;
        // After the back-off, the last known spare slots of a peer that refused are out of date.
        const auto spare = peer.refusals > 0 ? 1 : peer.spare.value_or(1);
        const std::pair<std::uint32_t, std::uint64_t> key{spare, random()};
        if (!best || key > best_key) {
            best = host;
            best_key = key;
        }
    }
    return best;
}

void slot_sharing::handle_timeouts(time_point now, rng& random)
{
    for (auto& [number, request] : sent_requests_) {
        if (request.timed_out || request.slots == 0 ||
            now - request.sent_at < options_.request_timeout)
            continue;
        request.timed_out = true;
        back_off(now, request, random);
    }
}

void slot_sharing::back_off(time_point now, const sent_request& request, rng& random)
{
    auto& peer = peers_[{request.to, request.service}];
    peer.not_before = now + jittered_backoff(options_.backoff_first, options_.backoff_max,
                                             peer.refusals++, random);
    auto& service_backoff = service_backoffs_[request.service];
    service_backoff.not_before =
        now + jittered_backoff(options_.service_backoff_first, options_.service_backoff_max,
                               service_backoff.refusals++, random);
}

void slot_sharing::note_spare(const std::string& host, const std::string& service,
                              std::uint32_t slots)
{
    auto& peer = peers_[{host, service}];
    peer.spare = slots;
    if (slots > 0)
        peer.refusals = 0;
}

} // namespace chivewharf::upstream
