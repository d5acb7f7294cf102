#include <fleet/topic_follower.h>

#include <utility>

namespace chivewharf::fleet {

void topic_follower::take(const keyed_record& record)
{
    const auto known = offsets_.find(record.key);
    if (known != offsets_.end() && record.offset <= known->second)
        return;
    if (record.value)
        offsets_[record.key] = record.offset;
    else if (known != offsets_.end())
        offsets_.erase(known);
    changed_(record);
}

void topic_follower::on_page(const std::vector<keyed_record>& records, bool more, std::uint64_t end)
{
    // Pages are no snapshot: what changed after the first page is read again as records.
    if (!first_end_)
        first_end_ = end;
    for (const auto& record : records) {
        listed_[record.key] = record.offset;
        take(record);
    }
    if (more && !records.empty()) {
        next_.after_key = records.back().key;
        return;
    }
    std::vector<std::string> vanished;
    for (const auto& [key, offset] : offsets_) {
        if (!listed_.contains(key) && offset < *first_end_)
            vanished.push_back(key);
    }
    for (const auto& key : vanished) {
        offsets_.erase(key);
        changed_({key, std::nullopt, *first_end_});
    }
    next_ = {false, {}, *first_end_};
    listed_.clear();
    first_end_.reset();
    complete_ = true;
}

void topic_follower::on_records(const std::vector<keyed_record>& records)
{
    for (const auto& record : records) {
        next_.offset = record.offset + 1;
        take(record);
    }
}

void topic_follower::restart()
{
    next_ = {};
    listed_.clear();
    first_end_.reset();
}

} // namespace chivewharf::fleet
