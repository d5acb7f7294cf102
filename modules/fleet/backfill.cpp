#include <fleet/backfill.h>

#include <algorithm>
#include <utility>

namespace chivewharf::fleet {

time_point expected_end(time_point started, duration expected, time_point now)
{
    const auto end = started + expected;
    return end > now ? end : now + (now - started) / 2;
}

std::optional<time_point> room_expected_at(resources free, std::vector<expected_release> releases,
                                           const resources& demand, time_point now)
{
    std::sort(releases.begin(), releases.end(),
              [](const auto& a, const auto& b) { return a.at < b.at; });
    auto at = now;
    for (auto next = releases.begin(); !free.fits(demand); ++next) {
        if (next == releases.end())
            return std::nullopt;
        free += next->demand;
        at = next->at;
    }
    return at;
}

void backfill::begin_pass()
{
    blocked_.clear();
    former_ = std::exchange(reserved_, {});
}

void backfill::found_no_worker(const std::string& service, const resources& demand)
{
    blocked_.insert_or_assign(service, demand);
}

bool backfill::known_not_to_fit(const std::string& service, const resources& demand) const
{
    const auto found = blocked_.find(service);
    return found != blocked_.end() && demand.fits(found->second);
}

bool backfill::begin_search(const std::string& service, const std::string& job, time_point now)
{
    if (reserved_.contains(service))
        return false;
    const auto last = searched_.find(service);
    // A search that has begun goes on for all jobs of the pass.
    if (last == searched_.end() || last->second == now || now - last->second >= search_interval) {
        searched_.insert_or_assign(service, now);
        return true;
    }
    const auto former = former_.find(service);
    if (former != former_.end() && former->second.job == job)
        reserve(service, former->second);
    return false;
}

void backfill::reserve(const std::string& service, reservation one)
{
    reserved_.insert_or_assign(service, std::move(one));
}

bool backfill::reserved_for_other(const std::string& service, const std::string& worker,
                                  const std::string& job, time_point end) const
{
    const auto found = reserved_.find(service);
    if (found == reserved_.end())
        return false;
    const auto& one = found->second;
    return one.worker == worker && one.job != job && end > one.room_at;
}

} // namespace chivewharf::fleet
