#include <submission/id_issuer.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace chivewharf::submission {

namespace {

/// Maximum boot-clock time that one range covers.
constexpr duration max_range_duration = seconds{1};

} // namespace

id_issuer::id_issuer(std::string domain, std::string host, std::uint64_t incarnation,
                     duration id_lifetime)
    : domain_{std::move(domain)}, host_{std::move(host)}, incarnation_{incarnation},
      id_lifetime_{id_lifetime}
{
}

result<id_issuer, submission_error> id_issuer::make(std::string domain, std::string host,
                                                    std::uint64_t incarnation, duration id_lifetime)
{
    constexpr auto max_number = std::numeric_limits<std::uint64_t>::max();
    const issued_parts max_parts{domain, host, incarnation, max_number, max_number};
    const auto parsed = submission_id::parse(format_issued(max_parts));
    if (!parsed || parsed->issued() != max_parts) {
        return unexpected{submission_error{submission_errc::invalid_name,
                                           "ids of domain \"" + domain + "\" and host \"" + host +
                                               "\" would be too long or would not parse back"}};
    }
    return id_issuer{std::move(domain), std::move(host), incarnation, id_lifetime};
}

void id_issuer::open_range(time_point now, wall_ms wall)
{
    while (!ranges_.empty() && ranges_.front().opened + id_lifetime_ <= now)
        ranges_.pop_front();
    auto second = static_cast<std::uint64_t>(std::max<wall_ms>(wall, 0) / 1000);
    if (!ranges_.empty()) {
        const range& last = ranges_.back();
        second = std::max(second, last.seconds);
        if (second == last.seconds && now - last.opened < max_range_duration)
            return;
    }
    ranges_.push_back({next_seq_, second, now});
}

std::string id_issuer::issue(time_point now, wall_ms wall)
{
    open_range(now, wall);
    return format_issued({domain_, host_, incarnation_, ranges_.back().seconds, next_seq_++});
}

std::vector<std::string> id_issuer::issue_block(std::size_t count, time_point now, wall_ms wall)
{
    std::vector<std::string> ids;
    ids.reserve(count);
    while (ids.size() < count)
        ids.push_back(issue(now, wall));
    return ids;
}

id_standing id_issuer::check(const issued_parts& id, time_point now) const
{
    if (id.domain != domain_ || id.host != host_)
        return id_standing::other_host;
    if (id.incarnation != incarnation_)
        return id_standing::other_incarnation;
    if (id.seq == 0 || id.seq >= next_seq_)
        return id_standing::not_issued;
    const auto next =
        std::upper_bound(ranges_.begin(), ranges_.end(), id.seq,
                         [](std::uint64_t seq, const range& r) { return seq < r.first_seq; });
    if (next == ranges_.begin())
        return id_standing::expired;
    const range& found = *std::prev(next);
    if (found.seconds != id.seconds)
        return id_standing::not_issued;
    return found.opened + id_lifetime_ <= now ? id_standing::expired : id_standing::valid;
}

refusal refusal_for(id_standing standing) noexcept
{
    switch (standing) {
    case id_standing::valid:
        return {reason::none, work_state::not_run};
    case id_standing::not_issued:
        return {reason::id_not_issued, work_state::not_run};
    case id_standing::expired:
        return {reason::id_expired, work_state::may_have_run};
    case id_standing::other_incarnation:
        return {reason::owner_gone, work_state::may_have_run};
    case id_standing::other_host:
        return {reason::owner_unreachable, work_state::may_have_run};
    }
    return {reason::internal, work_state::may_have_run};
}

} // namespace chivewharf::submission
