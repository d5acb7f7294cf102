#include <fleet/owner_choice.h>

#include <algorithm>
#include <cmath>
#include <optional>
#include <tuple>

namespace chivewharf::fleet {

namespace {

/// Another domain is used only if its backlog is shorter than the home domain's by this much. A
/// backlog tells little about the wait of a single job, so the margin is wide.
constexpr duration backlog_margin = milliseconds{20};
/// Cost of sending a job to another domain if the owner tells its waits: the round trip.
constexpr duration distance_cost = milliseconds{2};
/// Delay that is expected at home if some of the job's tasks have to wait for others to end. It
/// exceeds the cost of distance, so that the job goes to a domain in which all of its tasks can
/// start.
constexpr duration home_shortage_cost = milliseconds{5};
/// The same in another domain. That domain's own jobs arrive all the time and go first, so that a
/// job that does not start at once waits longer than the owner could predict.
constexpr duration remote_shortage_cost = milliseconds{100};
/// Another domain counts as having room for a job only if it could start this many of them: other
/// hosts choose from the same report.
constexpr std::uint64_t remote_room_factor = 3;
/// Expected delays count as equal if they exceed the least one by at most that one divided by this:
/// run times, from which the owners predict waits, are off by more.
constexpr std::int64_t equal_cost_divisor = 4;

/// A candidate with its estimate.
struct rated_owner {
    const owner_view* owner = nullptr;
    owner_estimate estimate;
};

bool tells_room(const owner_view& owner, time_point now)
{
    return owner.room && now - owner.reported <= max_report_age;
}

/// Wait of the nearest told priority that is not more urgent; that of the least urgent one if all
/// are more urgent.
duration wait_of(const owner_view& owner, std::uint32_t priority)
{
    const auto& waits = owner.room->waits;
    if (waits.empty())
        return owner.backlog;
    const auto found = std::find_if(waits.begin(), waits.end(),
                                    [&](const auto& one) { return one.priority >= priority; });
    return milliseconds{found == waits.end() ? waits.back().wait_ms : found->wait_ms};
}

/// The choice by backlog, with a random weight so that hosts with the same reports do not all
/// choose the same owner.
const rated_owner* choose_by_backlog(const std::vector<rated_owner>& candidates, rng& random)
{
    const rated_owner* best = nullptr;
    double best_free = 0;
    for (const auto& one : candidates) {
        const auto weighted_free =
            static_cast<double>(one.owner->free_milli) * (0.5 + uniform(random));
        if (best == nullptr || one.estimate.cost < best->estimate.cost ||
            (one.estimate.cost == best->estimate.cost && weighted_free > best_free)) {
            best = &one;
            best_free = weighted_free;
        }
    }
    return best;
}

/// Random number for a choice by weight: of several owners, each has the least number with a
/// probability proportional to its weight.
double random_rank(const rated_owner& one, rng& random)
{
    const auto weight = one.estimate.starts_now ? one.estimate.room : one.owner->free_milli;
    return -std::log(1 - uniform(random)) / std::max(static_cast<double>(weight), 1.0);
}

/// Order of the candidates: expected delay, room for all tasks, distance.
bool is_better(const rated_owner& a, const rated_owner& b)
{
    const auto rank = [](const owner_estimate& one) {
        return std::tuple{one.cost, !one.starts_now, one.other_domain};
    };
    return rank(a.estimate) < rank(b.estimate);
}

/// The best candidate, or one that is about as good and at the same distance.
const rated_owner* choose_by_wait(const std::vector<rated_owner>& candidates, rng& random)
{
    const auto& least = *std::min_element(candidates.begin(), candidates.end(), is_better);
    const auto limit = least.estimate.cost + least.estimate.cost / equal_cost_divisor;
    const rated_owner* best = nullptr;
    double best_rank = 0;
    for (const auto& one : candidates) {
        if (one.estimate.other_domain != least.estimate.other_domain ||
            one.estimate.starts_now != least.estimate.starts_now || one.estimate.cost > limit)
            continue;
        const auto rank = random_rank(one, random);
        if (best == nullptr || rank < best_rank) {
            best = &one;
            best_rank = rank;
        }
    }
    return best;
}

move_reason reason_of(const owner_estimate& chosen, const std::optional<owner_estimate>& best_home)
{
    if (!chosen.other_domain)
        return move_reason::none;
    if (!best_home)
        return move_reason::no_owner;
    if (!best_home->tells_room)
        return move_reason::backlog;
    return best_home->wait > chosen.wait ? move_reason::wait : move_reason::room;
}

} // namespace

job_need need_of(const wire::job_order& order)
{
    job_need need;
    need.priority = order.priority;
    for (const auto& step : order.steps) {
        if (step.depends_on.empty())
            need.tasks += step.count;
    }
    return need;
}

owner_estimate estimate_owner(const owner_view& owner, const job_need& job, const sent_tasks& sent,
                              const std::string& home, time_point now)
{
    owner_estimate estimate;
    estimate.other_domain = owner.shard.domain != home;
    estimate.tells_room = tells_room(owner, now);
    if (!estimate.tells_room) {
        estimate.wait = owner.backlog;
        estimate.cost = owner.backlog;
        if (estimate.other_domain)
            estimate.cost += backlog_margin;
        return estimate;
    }
    const auto used = sent.since_report(owner);
    const std::uint64_t told = owner.room->startable_tasks;
    estimate.room = told > used ? told - used : 0;
    estimate.starts_now = estimate.room >= job.tasks;
    if (!estimate.other_domain) {
        estimate.wait = wait_of(owner, job.priority);
        estimate.cost = estimate.wait;
        if (!estimate.starts_now)
            estimate.cost += home_shortage_cost;
        return estimate;
    }
    // The owner treats a job from another domain as one priority less urgent.
    estimate.wait = wait_of(owner, job.priority + 1);
    estimate.cost = estimate.wait + distance_cost;
    if (estimate.room < job.tasks * remote_room_factor)
        estimate.cost += remote_shortage_cost;
    return estimate;
}

bool may_start_in_time(const owner_estimate& estimate, duration slack)
{
    if (!estimate.tells_room || estimate.starts_now)
        return true;
    const auto distance = estimate.other_domain ? distance_cost : duration{0};
    return estimate.wait + distance <= slack;
}

owner_choice choose_owner(const std::vector<const owner_view*>& candidates, const job_need& job,
                          const sent_tasks& sent, const std::string& home, rng& random,
                          time_point now)
{
    std::vector<rated_owner> rated;
    std::optional<owner_estimate> best_home;
    for (const auto* owner : candidates) {
        rated.push_back({owner, estimate_owner(*owner, job, sent, home, now)});
        const auto& estimate = rated.back().estimate;
        if (!estimate.other_domain && (!best_home || estimate.cost < best_home->cost))
            best_home = estimate;
    }
    if (rated.empty())
        return {};
    const bool room_known = std::any_of(
        rated.begin(), rated.end(), [](const rated_owner& one) { return one.estimate.tells_room; });
    const auto* chosen =
        room_known ? choose_by_wait(rated, random) : choose_by_backlog(rated, random);
    return {chosen->owner, chosen->estimate.wait, reason_of(chosen->estimate, best_home)};
}

} // namespace chivewharf::fleet
