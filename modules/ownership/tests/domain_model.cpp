#include "domain_model.h"

#include <algorithm>

namespace chivewharf::ownership {

namespace {

using namespace submission;

constexpr std::string_view customer = "coldquay";
constexpr unsigned used_slots = 2; ///< number of slots that caller-chosen ids use
constexpr duration resubmission_limit = seconds{300};
constexpr time_point far_future{std::chrono::hours{1000}};

/// Caller-chosen ids whose slot is one of the first `used_slots`.
const std::vector<submission_id>& caller_ids()
{
    static const auto ids = [] {
        std::vector<submission_id> found;
        for (int i = 0; found.size() < 64; ++i) {
            auto id = submission_id::parse("k" + std::to_string(i)).value();
            if (id.slot(customer) < used_slots)
                found.push_back(std::move(id));
        }
        return found;
    }();
    return ids;
}

} // namespace

domain_model::domain_model(std::uint32_t hosts, bool calm, removed_guard removed)
    : calm_{calm}, removed_{removed}, now_{seconds{1000}}
{
    hosts_.resize(hosts);
    for (std::size_t i = 0; i < hosts_.size(); ++i)
        hosts_[i].name = "e" + std::to_string(i);
    for (auto& h : hosts_)
        start_host(h);
    advance(seconds{16});
}

/// Advances the time in steps that are shorter than `promise_hold`, and runs all hosts at each
/// step.
void domain_model::advance(duration d)
{
    const auto end = now_ + d;
    do {
        now_ = std::min<time_point>(end, now_ + seconds{5});
        const auto first = random_below(static_cast<std::uint32_t>(hosts_.size()));
        for (std::size_t i = 0; i < hosts_.size(); ++i)
            run_host(hosts_[(first + i) % hosts_.size()]);
    } while (now_ < end);
}

std::uint32_t domain_model::random_below(std::uint32_t below)
{
    random_ += 0x9e3779b97f4a7c15ULL;
    auto mixed = (random_ ^ (random_ >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    return static_cast<std::uint32_t>((mixed ^ (mixed >> 31U)) % below);
}

bool domain_model::reachable(const host& from, const host& to) const
{
    return &from == &to || (active(to) && !from.peers_disconnected && !to.peers_disconnected);
}

void domain_model::start_host(host& h)
{
    ++incarnations_;
    h.issuer = id_issuer::make("d", h.name, incarnations_).value();
    h.owner = std::make_unique<slot_owner>(incarnation_id{h.name, incarnations_}, now_);
    h.table = submission_table{};
    h.answers.clear();
    h.admitted.clear();
    h.claim_sent = {};
    h.alive = true;
    h.paused_until = now_;
    std::vector<std::string> others;
    for (const auto& other : hosts_) {
        if (other.name != h.name)
            others.push_back(other.name);
    }
    h.owner->set_live_hosts(others);
    h.owner->set_configured_hosts(std::move(others), now_);
    // A promise that never expires keeps the unused slots unclaimed, which shortens the histories.
    promise_request unused{{"unused", 0}, {}, now_};
    for (unsigned slot = used_slots; slot < slot_count; ++slot)
        unused.slots.push_back({slot, 1});
    h.owner->on_promise_request(unused, far_future);
}

void domain_model::record_violation(std::string what)
{
    if (violation_.empty())
        violation_ = std::move(what);
}

// Operations.

void domain_model::step(std::uint32_t operation)
{
    random_ = operation;
    static constexpr std::array<std::int64_t, 8> waits_ms{0,    10,   300,   1000,
                                                          3000, 6000, 14000, 40000};
    advance(milliseconds{waits_ms[random_below(waits_ms.size())]});
    host& target = hosts_[random_below(static_cast<std::uint32_t>(hosts_.size()))];
    auto kind = random_below(100);
    const bool kill_pause_or_peers = (kind >= 53 && kind < 76) || (kind >= 84 && kind < 92);
    if (calm_ && ((kill_pause_or_peers && chance(95)) || (kind >= 76 && chance(50))))
        kind = 99; // nothing happens
    if (kind < 14)
        new_job(false);
    else if (kind < 20)
        new_job(true);
    else if (kind < 48)
        resubmit();
    else if (kind < 53 && !jobs_.empty())
        cancel(random_below(static_cast<std::uint32_t>(jobs_.size())));
    else if (kind < 60)
        target.alive = false;
    else if (kind < 70 && !target.alive)
        start_host(target);
    else if (kind < 76)
        target.paused_until = now_ + seconds{random_below(120)};
    else if (kind < 84)
        target.log_disconnected = !target.log_disconnected;
    else if (kind < 88)
        target.peers_disconnected = !target.peers_disconnected;
    else if (kind < 92)
        hand_over(target);
    std::vector<request_copy> arrived;
    std::swap(arrived, requests_in_transit_);
    for (const request_copy& c : arrived) {
        if (chance(50))
            requests_in_transit_.push_back(c);
        else
            deliver(c.job, hosts_[c.host]);
    }
    advance(duration::zero());
}

void domain_model::new_job(bool issued)
{
    job j;
    j.first = now_;
    j.deadline = now_ + seconds{1 + random_below(100)};
    j.started.resize(1 + random_below(3));
    host& h = hosts_[random_below(static_cast<std::uint32_t>(hosts_.size()))];
    if (issued)
        j.id = submission_id::parse(h.issuer->issue(now_, to_ms(now_.time_since_epoch()))).value();
    else if (jobs_.size() < caller_ids().size())
        j.id = caller_ids()[jobs_.size()];
    else
        return;
    j.key = make_key(customer, j.id.text());
    jobs_.push_back(std::move(j));
    deliver(jobs_.size() - 1, h);
}

void domain_model::resubmit()
{
    if (jobs_.empty())
        return;
    const auto recent = std::min<std::size_t>(jobs_.size(), 4);
    const auto number = jobs_.size() - 1 - random_below(static_cast<std::uint32_t>(recent));
    const request_copy c{number, random_below(static_cast<std::uint32_t>(hosts_.size()))};
    if (jobs_[number].not_run)
        return; // the caller may send a new request after "not run", which is not modelled
    deliver(number, hosts_[c.host]);
    if (chance(30))
        requests_in_transit_.push_back(c);
}

domain_model::host* domain_model::route(const job& j, host& at)
{
    const auto& owner_name =
        j.id.issued() ? j.id.issued()->host : at.owner->log().slot(j.id.slot(customer)).owner.host;
    const auto found = std::find_if(hosts_.begin(), hosts_.end(),
                                    [&](const host& h) { return h.name == owner_name; });
    return found == hosts_.end() || !reachable(at, *found) ? nullptr : &*found;
}

void domain_model::deliver(std::size_t number, host& at)
{
    // Callers resubmit within the id lifetime.
    if (!active(at) || now_ >= jobs_[number].first + resubmission_limit)
        return;
    host* owner = route(jobs_[number], at);
    if (owner == nullptr)
        return; // refused as owner_unreachable; the work may have run
    submit(number, *owner);
    if (chance(20))
        submit(number, *owner); // sent again over a new connection
}

bool domain_model::may_admit(const job& j, host& h) const
{
    if (j.id.issued())
        return h.issuer->check(*j.id.issued(), now_) == id_standing::valid;
    const auto slot = j.id.slot(customer);
    return without_guard(h.owner->may_admit(slot, now_), slot, h) == slot_verdict::proved;
}

slot_verdict domain_model::without_guard(slot_verdict verdict, unsigned slot, const host& h) const
{
    if (removed_ == removed_guard::lease && verdict == slot_verdict::unproved)
        return slot_verdict::proved;
    if (removed_ == removed_guard::quarantine && verdict == slot_verdict::quarantined)
        return slot_verdict::proved;
    if (removed_ == removed_guard::read_back && h.claim_sent[slot] &&
        verdict == slot_verdict::not_owner)
        return slot_verdict::proved;
    return verdict;
}

void domain_model::submit(std::size_t number, host& at)
{
    const job& j = jobs_[number];
    static const auto body = digest_body("body");
    static const auto other = digest_body("other");
    const auto digest = chance(10) ? other : body;
    const auto known = at.table.find(j.key, digest, number);
    const bool ignore_known = removed_ == removed_guard::duplicate_check;
    if (known.kind != receipt::unknown && !ignore_known) {
        if (known.reply && known.reply->why != reason::id_body_mismatch)
            check_answer(at, number, known.reply);
        return;
    }
    if (digest != body || !may_admit(j, at))
        return; // refused; the work may have run
    submission_request request;
    request.key = j.key;
    request.slot = j.id.issued() ? no_slot : static_cast<std::uint8_t>(j.id.slot(customer));
    request.slot_epoch = request.slot == no_slot ? 0 : at.owner->own_epoch(request.slot);
    request.digest = digest;
    request.deadline = j.deadline;
    request.tasks.resize(j.started.size());
    if (ignore_known && known.kind != receipt::unknown)
        at.table = submission_table{};
    const auto got = at.table.admit(std::move(request), number, now_);
    if (got.kind == receipt::admitted)
        at.admitted.push_back(number);
    if (got.reply)
        check_answer(at, number, got.reply);
}

void domain_model::cancel(std::size_t number)
{
    const job& j = jobs_[number];
    host& at = hosts_[random_below(static_cast<std::uint32_t>(hosts_.size()))];
    host* owner = active(at) ? route(j, at) : nullptr;
    if (owner == nullptr)
        return;
    if (const auto effect = owner->table.cancel(j.key, now_); effect.reply)
        check_answer(*owner, number, effect.reply);
}

void domain_model::hand_over(host& from)
{
    host& to = hosts_[random_below(static_cast<std::uint32_t>(hosts_.size()))];
    if (!active(from) || &from == &to || !reachable(from, to))
        return;
    from.owner->stop_claiming();
    for (const slot_epoch& at : from.owner->own_slots()) {
        const auto action =
            from.owner->hand_over({at.slot}, {to.name, to.issuer->incarnation()}).value();
        if (chance(80)) {
            for (const auto& record : from.table.export_slot(static_cast<std::uint8_t>(at.slot)))
                to.table.import(record, now_);
            to.owner->on_handover_records(at, from.owner->quarantine_left(at.slot, now_), now_);
        }
        append(from, action);
    }
    from.log_disconnected |= chance(30); // then it does not read its own handover record
}

// Background activity of each host.

void domain_model::append(host& from, const append_action& action)
{
    const auto roll = random_below(100);
    const bool written = !from.log_disconnected && roll < 90;
    if (written)
        log_.push_back(action.text);
    if (written && roll < 10)
        log_.push_back(action.text); // retry of the log client
    const auto outcome = roll >= 10 && roll < 80 && written ? append_outcome::written
                         : written || roll < 95             ? append_outcome::may_have_been_written
                                                            : append_outcome::not_written;
    from.owner->on_append(action.record_id, outcome, now_);
}

void domain_model::read_log(host& h)
{
    log_read read{now_, 0, {}, true};
    for (auto i = h.owner->log().next_offset(); i < log_.size(); ++i)
        read.records.emplace_back(i, log_[i]);
    h.owner->on_log(read, now_);
}

void domain_model::run_host(host& h)
{
    if (!active(h))
        return;
    // A host that resumes after a pause may start tasks before it reads the log or any message.
    if (chance(50))
        start_tasks(h);
    if (!h.log_disconnected && chance(90))
        read_log(h);
    const auto actions = h.owner->poll(now_);
    for (const auto& action : actions.appends) {
        for (unsigned slot = 0; slot < used_slots; ++slot) {
            const auto claim = "\"slot\":" + std::to_string(slot) + ",\"type\":\"claim\"";
            h.claim_sent[slot] |= action.text.find(claim) != std::string::npos;
        }
        append(h, action);
    }
    if (actions.promise_request_to_send)
        ask_promises(h, *actions.promise_request_to_send);
    if (!h.log_disconnected && chance(90))
        read_log(h);
    for (const auto& expired : h.table.tick(now_)) {
        for (const auto number : expired.effect.waiters)
            check_answer(h, number, expired.effect.reply);
    }
    start_tasks(h);
}

void domain_model::ask_promises(host& h, const promise_request& request)
{
    for (host& peer : hosts_) {
        if (&peer == &h || !active(peer) || !reachable(h, peer) || chance(5))
            continue;
        if (removed_ == removed_guard::promise)
            h.owner->on_promise({peer.name, request.slots, request.requested_at}, now_);
        else
            h.owner->on_promise(peer.owner->on_promise_request(request, now_), now_);
    }
}

bool domain_model::may_start(const job& j, std::uint64_t epoch, host& h) const
{
    if (j.id.issued())
        return true;
    const auto slot = j.id.slot(customer);
    return without_guard(h.owner->may_start(slot, epoch, now_), slot, h) == slot_verdict::proved;
}

void domain_model::start_tasks(host& h)
{
    for (const auto number : h.admitted) {
        const job& j = jobs_[number];
        const auto* request = h.table.request(j.key);
        if (request == nullptr || request->tasks.empty())
            continue;
        for (std::uint32_t task = 0; task < j.started.size(); ++task) {
            if (chance(50) || !may_start(j, request->slot_epoch, h))
                continue;
            const auto attempt = h.table.may_start(j.key, task, now_);
            if (attempt)
                run_task(h, number, task, *attempt);
        }
    }
}

void domain_model::run_task(host& h, std::size_t number, std::uint32_t task, std::uint32_t attempt)
{
    job& j = jobs_[number];
    const auto roll = random_below(100);
    const bool starts = roll >= 30;
    if (starts) {
        ++starts_;
        if (++j.started[task] > 1)
            record_violation("task started twice: " + j.id.text());
        if (j.not_run)
            record_violation("task started after not_run: " + j.id.text());
    }
    const auto end = roll < 20   ? attempt_end::not_run
                     : roll < 40 ? attempt_end::lost
                     : roll < 45 ? attempt_end::failed
                                 : attempt_end::done;
    if (roll >= 95)
        return; // the answer never arrives
    const int copies = chance(20) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        const auto effect =
            h.table.finish_task(j.key, task, attempt + (chance(5) ? 1 : 0),
                                {end, reason::none, "r" + std::to_string(task), {}}, now_);
        if (effect.reply)
            check_answer(h, number, effect.reply);
    }
}

void domain_model::check_answer(host& h, std::size_t number, const answer_ptr& reply)
{
    job& j = jobs_[number];
    const auto started = std::any_of(j.started.begin(), j.started.end(), [](int n) { return n; });
    if (reply->work == work_state::not_run) {
        if (started)
            record_violation("not_run after a start: " + j.id.text());
        j.not_run = true;
    }
    if (reply->result == outcome::refused)
        return;
    ++final_answers_;
    bool complete = reply->payloads.size() == j.started.size();
    for (std::size_t i = 0; complete && i < reply->payloads.size(); ++i)
        complete = reply->payloads[i] == "r" + std::to_string(i);
    if (reply->result == outcome::complete ? !complete : !reply->payloads.empty())
        record_violation("partial answer: " + j.id.text());
    const auto [first, added] = h.answers.try_emplace(number, reply);
    if (!added && *first->second != *reply)
        record_violation("two final answers: " + j.id.text());
}

} // namespace chivewharf::ownership
