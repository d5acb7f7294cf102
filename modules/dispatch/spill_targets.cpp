#include <dispatch/spill_targets.h>

namespace chivewharf::dispatch {

namespace {

/// Two reports may be lost before a target is no longer trusted.
constexpr duration report_life = seconds{5};

} // namespace

void spill_targets::report(const std::string& host, const wire::load_report& load, time_point now)
{
    auto& entry = hosts_[host];
    entry.at = now;
    entry.free_slots.clear();
    for (const auto& one : load.services)
        entry.free_slots[one.service] = one.free_slots;
}

std::optional<std::string> spill_targets::best(std::string_view service, time_point now) const
{
    std::optional<std::string> host;
    std::int64_t most = 0;
    for (const auto& [name, load] : hosts_) {
        const auto found = load.free_slots.find(service);
        if (now - load.at > report_life || found == load.free_slots.end())
            continue;
        if (found->second > most) {
            most = found->second;
            host = name;
        }
    }
    return host;
}

void spill_targets::sent(const std::string& host, const std::string& service)
{
    ++outstanding_[host];
    change(host, service, -1);
}

void spill_targets::answered(const std::string& host, const std::string& service)
{
    if (const auto found = outstanding_.find(host); found != outstanding_.end()) {
        if (--found->second == 0)
            outstanding_.erase(found);
    }
    change(host, service, 1);
}

void spill_targets::change(const std::string& host, const std::string& service, int slots)
{
    const auto found = hosts_.find(host);
    if (found != hosts_.end())
        found->second.free_slots[service] += slots;
}

} // namespace chivewharf::dispatch
