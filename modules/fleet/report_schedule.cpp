#include <fleet/report_schedule.h>

namespace chivewharf::fleet {

std::optional<duration> report_interval(const report_relation& relation)
{
    if (relation.jobs || (relation.sender_owns && relation.same_domain))
        return short_report_interval;
    if (relation.sender_owns || relation.same_domain)
        return long_report_interval;
    return std::nullopt;
}

std::optional<duration> silence_limit(const report_relation& relation)
{
    const auto interval = report_interval(relation);
    if (!interval)
        return std::nullopt;
    return *interval == short_report_interval ? short_silence_limit : long_silence_limit;
}

} // namespace chivewharf::fleet
