#include <dispatch/request_router.h>

#include <algorithm>

namespace chivewharf::dispatch {

namespace {

/// Waiter numbers from this value on belong to requests from peers.
constexpr submission::waiter first_remote_waiter = 1ULL << 63U;

/// Wait for the answer to a forwarded request whose caller did not specify a wait.
constexpr duration default_forward_wait = seconds{60};

/// Added to the caller's wait, so that the owner's `pending` answer arrives before the expiry here.
constexpr duration forward_wait_margin = milliseconds{500};

/// Time allowed for establishing a link to a host to which there is none.
constexpr duration connect_timeout = seconds{2};

} // namespace

request_router::request_router(identity self, submission_service& service,
                               const ownership_service& ownership,
                               const membership::member_table& members, action_list& actions,
                               metrics::registry& metrics)
    : self_{std::move(self)}, service_{service}, ownership_{ownership}, members_{members},
      actions_{actions}, next_request_{self_.incarnation}, next_remote_waiter_{first_remote_waiter},
      refusals_{metrics.reasons("chivewharf_refusals_total")}, forwards_{metrics.counter(
                                                                   "chivewharf_forwards_total")},
      resends_{metrics.counter("chivewharf_forwards_repeated_total")},
      redirects_{metrics.counter("chivewharf_forwards_redirected_total")},
      late_answers_{metrics.counter("chivewharf_forward_answers_late_total")}
{
}

void request_router::refuse(submission::waiter who, reason cause, work_state work,
                            const std::string& id, std::string message)
{
    refusals_.add(cause);
    reply(who, render_refusal(cause, work, id, std::move(message)));
}

void request_router::request(caller_request request, time_point now)
{
    const auto id = submission::submission_id::parse(request.id);
    if (!id) {
        refuse(request.who, reason::invalid_id, work_state::not_run, request.id,
               id.error().message);
        return;
    }
    const auto target = route_of(*id, request.customer);
    if (target.local)
        serve(request, *id, now);
    else if (target.host.empty())
        refuse(request.who, target.refusal, work_state::may_have_run, request.id);
    else
        forward(std::move(request), *id, target.host, now);
}

request_router::route request_router::route_of(const submission::submission_id& id,
                                               const std::string& customer) const
{
    if (id.issued())
        return route_issued(*id.issued());
    const auto slot = id.slot(customer);
    const std::string home{id.home_domain(customer, settings_->key_domains)};
    if (home == self_.domain)
        return route_own_slot(slot);
    return {false, any_host_of(home, slot), reason::owner_unreachable};
}

request_router::route request_router::route_issued(const submission::issued_parts& parts) const
{
    if (parts.domain == self_.domain && parts.host == self_.host)
        return {true, {}, reason::none};
    if (!is_configured_host(parts.domain, parts.host))
        return {false, {}, reason::owner_gone};
    if (members_.is_retired(parts.host, parts.incarnation))
        return {false, {}, reason::owner_gone};
    return {false, parts.host, reason::none};
}

request_router::route request_router::route_own_slot(unsigned slot) const
{
    auto owner = ownership_.owner_host(slot);
    if (owner == self_.host)
        return {true, {}, reason::none};
    return {false, std::move(owner), reason::ownership_unproved};
}

std::string request_router::any_host_of(const std::string& domain, unsigned slot) const
{
    if (const auto hint = slot_hints_.find({domain, slot}); hint != slot_hints_.end())
        return hint->second;
    const auto hosts = members_.links_to(domain);
    for (const auto& host : hosts) {
        if (links_up_.contains(host.host))
            return host.host;
    }
    return hosts.empty() ? std::string{} : hosts.front().host;
}

bool request_router::is_configured_host(const std::string& domain, const std::string& host) const
{
    return std::any_of(settings_->entry_hosts.begin(), settings_->entry_hosts.end(),
                       [&](const auto& host_settings) {
                           return host_settings.domain == domain && host_settings.name == host;
                       });
}

void request_router::serve(const caller_request& request, const submission::submission_id& id,
                           time_point now)
{
    const submission_call call{request.who, request.customer, id, request.body, request.wait};
    switch (request.operation) {
    case wire::operation::submit:
        service_.submit(call, now);
        break;
    case wire::operation::fetch:
        service_.fetch(call, now);
        break;
    case wire::operation::cancel:
        service_.cancel(call, now);
        break;
    }
}

void request_router::forward(caller_request request, const submission::submission_id& id,
                             std::string host, time_point now)
{
    const auto number = next_request_++;
    pending_request pending;
    pending.who = request.who;
    pending.id = request.id;
    pending.host = std::move(host);
    if (!id.issued()) {
        pending.home_domain = id.home_domain(request.customer, settings_->key_domains);
        pending.slot = id.slot(request.customer);
    }
    const auto wait = request.wait.value_or(default_forward_wait) + forward_wait_margin;
    const bool linked = links_up_.contains(pending.host);
    pending.asked_at = now;
    pending.expires = now + (linked ? wait : connect_timeout);
    pending.message = {number,
                       std::move(request.customer),
                       std::move(request.id),
                       request.operation,
                       request.wait ? static_cast<std::uint32_t>(to_ms(*request.wait))
                                    : wire::unspecified_wait_ms,
                       std::move(request.body)};
    ++forwards_;
    actions_.add(send_peer{pending.host, pending.message});
    expiries_.emplace(pending.expires, number);
    pending_of_waiter_[pending.who] = number;
    pending_.emplace(number, std::move(pending));
}

void request_router::on_forward(const std::string& from, wire::forward message, time_point now)
{
    const auto who = next_remote_waiter_++;
    remote_waiters_.emplace(who, remote_waiter{from, message.request_id});
    if (!ready_) {
        refuse(who, reason::not_ready, work_state::may_have_run, message.submission_id);
        return;
    }
    const auto id = submission::submission_id::parse(message.submission_id);
    if (!id) {
        refuse(who, reason::invalid_id, work_state::not_run, message.submission_id);
        return;
    }
    const auto target = route_of(*id, message.customer);
    if (target.local) {
        caller_request local{who,
                             message.operation,
                             std::move(message.customer),
                             std::move(message.submission_id),
                             std::move(message.body),
                             {}};
        if (message.wait_ms != wire::unspecified_wait_ms)
            local.wait = milliseconds{message.wait_ms};
        serve(local, *id, now);
        return;
    }
    if (id->issued() || target.host.empty()) {
        const auto cause =
            target.refusal == reason::none ? reason::owner_unreachable : target.refusal;
        refuse(who, cause, work_state::may_have_run, message.submission_id);
        return;
    }
    remote_waiters_.erase(who);
    actions_.add(send_peer{from, wire::forward_answer{message.request_id, 0, 0, target.host, {}}});
}

void request_router::on_answer(const std::string& from, wire::forward_answer answer,
                               time_point /*now*/)
{
    const auto found = pending_.find(answer.request_id);
    if (found == pending_.end() || found->second.host != from) {
        ++late_answers_;
        return;
    }
    auto& pending = found->second;
    if (!answer.owner.empty()) {
        // Hints are stored only for slots of other domains, because the log determines the owners
        // in this domain. A peer of this domain that has read more of the log may name this host,
        // which `redirect` refuses.
        if (answer.owner != self_.host && pending.home_domain != self_.domain)
            slot_hints_[{pending.home_domain, pending.slot}] = answer.owner;
        redirect(answer.request_id, answer.owner);
        return;
    }
    const auto who = pending.who;
    expiries_.erase({pending.expires, answer.request_id});
    pending_of_waiter_.erase(who);
    pending_.erase(found);
    reply(who, {answer.status, std::move(answer.body), milliseconds{answer.retry_after_ms}});
}

void request_router::redirect(std::uint64_t request_id, const std::string& host)
{
    auto& pending = pending_.at(request_id);
    if (pending.redirected || host == self_.host) {
        const auto removed = std::move(pending);
        expiries_.erase({removed.expires, request_id});
        pending_of_waiter_.erase(removed.who);
        pending_.erase(request_id);
        slot_hints_.erase({removed.home_domain, removed.slot});
        refuse(removed.who, reason::ownership_unproved, work_state::may_have_run, removed.id);
        return;
    }
    pending.redirected = true;
    pending.host = host;
    ++redirects_;
    actions_.add(send_peer{host, pending.message});
}

void request_router::peer_up(const std::string& host, time_point now)
{
    links_up_.insert(host);
    const auto resend_limit = settings_->policy.id_lifetime / 2;
    for (auto& [number, pending] : pending_) {
        if (pending.host != host)
            continue;
        const bool submits = pending.message.operation == wire::operation::submit;
        if (submits && now - pending.asked_at > resend_limit)
            continue;
        expiries_.erase({pending.expires, number});
        const duration wait = pending.message.wait_ms == wire::unspecified_wait_ms
                                  ? default_forward_wait
                                  : duration{milliseconds{pending.message.wait_ms}};
        // Measured from the arrival, so that a link that reconnects does not extend the caller's
        // wait.
        pending.expires = std::max(pending.expires, pending.asked_at + wait + forward_wait_margin);
        expiries_.emplace(pending.expires, number);
        ++resends_;
        actions_.add(send_peer{host, pending.message});
    }
}

void request_router::peer_down(const std::string& host)
{
    links_up_.erase(host);
    std::vector<submission::waiter> gone;
    for (const auto& [who, remote] : remote_waiters_) {
        if (remote.host == host)
            gone.push_back(who);
    }
    for (const auto who : gone) {
        remote_waiters_.erase(who);
        service_.remove_waiter(who);
    }
    // A ping makes the shell reopen the link while answers are outstanding.
    if (awaits(host))
        actions_.add(send_peer{host, wire::ping{}});
}

void request_router::remove_waiter(submission::waiter who)
{
    const auto found = pending_of_waiter_.find(who);
    if (found == pending_of_waiter_.end()) {
        service_.remove_waiter(who);
        return;
    }
    const auto number = found->second;
    expiries_.erase({pending_.at(number).expires, number});
    pending_.erase(number);
    pending_of_waiter_.erase(found);
}

void request_router::tick(time_point now)
{
    while (!expiries_.empty() && expiries_.begin()->first <= now) {
        const auto number = expiries_.begin()->second;
        expiries_.erase(expiries_.begin());
        const auto pending = std::move(pending_.at(number));
        pending_.erase(number);
        pending_of_waiter_.erase(pending.who);
        slot_hints_.erase({pending.home_domain, pending.slot});
        refuse(pending.who, reason::owner_unreachable, work_state::may_have_run, pending.id,
               "no answer from entry host " + pending.host);
    }
}

bool request_router::awaits(const std::string& host) const
{
    const auto is_with = [&host](const auto& entry) { return entry.second.host == host; };
    return std::any_of(pending_.begin(), pending_.end(), is_with) ||
           std::any_of(remote_waiters_.begin(), remote_waiters_.end(), is_with);
}

std::optional<time_point> request_router::next_due() const
{
    if (expiries_.empty())
        return std::nullopt;
    return expiries_.begin()->first;
}

void request_router::reply(submission::waiter who, caller_answer answer)
{
    const auto found = remote_waiters_.find(who);
    if (found == remote_waiters_.end()) {
        actions_.add(answer_caller{who, std::move(answer)});
        return;
    }
    const auto remote = std::move(found->second);
    remote_waiters_.erase(found);
    actions_.add(send_peer{
        remote.host, wire::forward_answer{remote.request_id,
                                          static_cast<std::uint16_t>(answer.status),
                                          static_cast<std::uint32_t>(to_ms(answer.retry_after)),
                                          {},
                                          std::move(answer.body)}});
}

} // namespace chivewharf::dispatch
