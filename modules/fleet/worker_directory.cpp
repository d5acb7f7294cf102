#include <fleet/worker_directory.h>

#include <algorithm>
#include <base/log_line.h>
#include <utility>

namespace chivewharf::fleet {

bool worker_directory::put(worker_entry entry)
{
    auto& listing = entries_[entry.id];
    if (listing.entry == entry && !listing.missing_since)
        return false;
    listing.entry = std::move(entry);
    listing.missing_since.reset();
    changed_ = true;
    log_line{"worker_listed"}
        .add("worker", listing.entry.id)
        .add("address", listing.entry.address)
        .add("domain", listing.entry.domain)
        .add("service", listing.entry.service)
        .add("leaving", listing.entry.leaving ? "true" : "false")
        .add("life", listing.entry.incarnation)
        .write();
    return true;
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
    if (answered == store_reachable_)
        return;
    store_reachable_ = answered;
    log_line{answered ? "store_regained" : "store_lost"}.write();
    if (!answered)
        return;
    for (auto& [id, listing] : entries_) {
        if (listing.missing_since)
            listing.missing_since = now;
    }
}

bool worker_directory::refresh(time_point now)
{
    if (store_reachable_ && any_missing_) {
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
    for (const auto& [id, listing] : entries_)
        all.push_back(listing.entry);
    return all;
}

} // namespace chivewharf::fleet
