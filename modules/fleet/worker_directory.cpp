#include <fleet/worker_directory.h>

#include <algorithm>
#include <base/log_line.h>
#include <utility>

namespace chivewharf::fleet {

void worker_directory::put(worker_entry entry)
{
    auto& one = entries_[entry.id];
    if (one.entry == entry && !one.missing_since)
        return;
    one.entry = std::move(entry);
    one.missing_since.reset();
    changed_ = true;
    log_line{"worker_listed"}
        .add("worker", one.entry.id)
        .add("address", one.entry.address)
        .add("domain", one.entry.domain)
        .add("service", one.entry.service)
        .add("leaving", one.entry.leaving ? "true" : "false")
        .add("life", one.entry.incarnation)
        .write();
}

void worker_directory::remove(const std::string& id, time_point now)
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second.missing_since)
        return;
    found->second.missing_since = now;
    any_missing_ = true;
}

void worker_directory::store_answered(bool answered, time_point now)
{
    if (answered == store_answers_)
        return;
    store_answers_ = answered;
    log_line{answered ? "store_regained" : "store_lost"}.write();
    if (!answered)
        return;
    for (auto& [id, one] : entries_) {
        if (one.missing_since)
            one.missing_since = now;
    }
}

bool worker_directory::refresh(time_point now)
{
    if (store_answers_ && any_missing_) {
        const auto erased = std::erase_if(entries_, [&](const auto& one) {
            const bool gone =
                one.second.missing_since && now - *one.second.missing_since > removal_grace;
            if (gone)
                log_line{"worker_gone"}.add("worker", one.first).write();
            return gone;
        });
        changed_ = changed_ || erased > 0;
        any_missing_ = std::any_of(entries_.begin(), entries_.end(), [](const auto& one) {
            return one.second.missing_since.has_value();
        });
    }
    return std::exchange(changed_, false);
}

std::vector<worker_entry> worker_directory::list() const
{
    std::vector<worker_entry> all;
    all.reserve(entries_.size());
    for (const auto& [id, one] : entries_)
        all.push_back(one.entry);
    return all;
}

} // namespace chivewharf::fleet
