#include <dispatch/spill_targets.h>

namespace chivewharf::dispatch {

namespace {

/// Maximum age of a usable load report; two reports may be lost before a host is not used any more.
constexpr duration max_report_age = seconds{5};

} // namespace

void spill_targets::report(const std::string& host, const wire::load_report& load, time_point now)
{
    auto& entry = hosts_[host];
    entry.at = now;
    entry.free_slots.clear();
    for (const auto& service : load.services)
        entry.free_slots[service.service] = service.free_slots;
}

std::optional<std::string> spill_targets::best(std::string_view service, time_point now) const
{
    std::optional<std::string> host;
    std::int64_t max_free_slots = 0;
    for (const auto& [name, load] : hosts_) {
        const auto found = load.free_slots.find(service);
        if (now - load.at > max_report_age || found == load.free_slots.end())
            continue;
        if (found->second > max_free_slots) {
            max_free_slots = found->second;
            host = name;
        }
    }
    return host;
}

void spill_targets::sent(const std::string& host, const std::string& service)
{
    ++outstanding_[host];
    adjust_free_slots(host, service, -1);
}

void spill_targets::answered(const std::string& host, const std::string& service)
{
    if (const auto found = outstanding_.find(host); found != outstanding_.end()) {
        if (--found->second == 0)
            outstanding_.erase(found);
    }
    adjust_free_slots(host, service, 1);
}

void spill_targets::adjust_free_slots(const std::string& host, const std::string& service,
                                      int slots)
{
    const auto found = hosts_.find(host);
    if (found != hosts_.end())
        found->second.free_slots[service] += slots;
}

} // namespace chivewharf::dispatch
