#include <fleet/topic_follower.h>

#include <algorithm>
#include <utility>

namespace chivewharf::fleet {

void topic_follower::apply(const keyed_record& record)
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
    // Pages are not a snapshot: changes after the first page are read again as records.
    if (!snapshot_end_)
        snapshot_end_ = end;
    for (const auto& record : records) {
        page_keys_[record.key] = record.offset;
        apply(record);
    }
    if (more && !records.empty()) {
        next_.after_key = records.back().key;
        return;
    }
    std::vector<std::string> vanished;
    for (const auto& [key, offset] : offsets_) {
        if (!page_keys_.contains(key) && offset < *snapshot_end_)
            vanished.push_back(key);
    }
    for (const auto& key : vanished) {
        offsets_.erase(key);
        changed_({key, std::nullopt, *snapshot_end_});
    }
    next_ = {false, {}, *snapshot_end_, 0};
    page_keys_.clear();
    snapshot_end_.reset();
    complete_ = true;
}

void topic_follower::on_records(const std::vector<keyed_record>& records)
{
    for (const auto& record : records) {
        advance(record.offset + 1);
        apply(record);
    }
}

void topic_follower::advance(std::uint64_t offset)
{
    next_.offset = std::max(next_.offset, offset);
}

void topic_follower::restart()
{
    next_ = {};
    page_keys_.clear();
    snapshot_end_.reset();
}

} // namespace chivewharf::fleet
