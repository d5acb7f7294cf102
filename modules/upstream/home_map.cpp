#include <upstream/home_map.h>

#include <algorithm>
#include <base/digest.h>
#include <cmath>
#include <utility>

namespace chivewharf::upstream {

namespace {

// Rendezvous score -weight / ln(u) with u uniform in (0, 1): the host with the highest score is
// chosen with probability proportional to its weight.
double score(const member& host, std::string_view worker)
{
    static constexpr double steps = 9007199254740992.0; // 2^53, the precision of a double
    const auto hash = stable_hash(worker, stable_hash(host.host));
    const double u = (static_cast<double>(hash >> 11U) + 0.5) / steps;
    return -host.weight / std::log(u);
}

} // namespace

home_map::home_map(std::vector<member> members) : members_(std::move(members)) {}

std::string_view home_map::home(std::string_view worker) const
{
    const member* best = nullptr;
    double best_score = 0;
    for (const auto& host : members_) {
        if (!host.live || host.weight <= 0)
            continue;
        const double s = score(host, worker);
        if (!best || s > best_score || (s == best_score && host.host < best->host)) {
            best = &host;
            best_score = s;
        }
    }
    return best ? std::string_view{best->host} : std::string_view{};
}

bool home_map::live(std::string_view host) const
{
    return std::any_of(members_.begin(), members_.end(),
                       [&](const member& m) { return m.live && m.host == host; });
}

} // namespace chivewharf::upstream
