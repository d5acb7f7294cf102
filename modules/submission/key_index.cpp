#include <submission/key_index.h>

#include <utility>

namespace chivewharf::submission {

namespace {

constexpr std::size_t initial_slot_count = 1024;

std::uint32_t tag_of(const submission_key& key)
{
    return static_cast<std::uint32_t>(key.low);
}

} // namespace

std::optional<std::uint32_t> key_index::find(const submission_key& key, matcher matches,
                                             const void* context) const
{
    if (slots_.empty())
        return std::nullopt;
    const auto mask = slots_.size() - 1;
    const auto tag = tag_of(key);
    for (std::size_t i = tag & mask; slots_[i].record_plus_one != 0; i = (i + 1) & mask) {
        const auto record = slots_[i].record_plus_one - 1;
        if (slots_[i].tag == tag && matches(context, record, key))
            return record;
    }
    return std::nullopt;
}

void key_index::place(std::uint32_t tag, std::uint32_t record_plus_one)
{
    const auto mask = slots_.size() - 1;
    std::size_t i = tag & mask;
    while (slots_[i].record_plus_one != 0)
        i = (i + 1) & mask;
    slots_[i] = {tag, record_plus_one};
}

void key_index::grow()
{
    std::vector<slot> larger(slots_.empty() ? initial_slot_count : slots_.size() * 2);
    std::swap(slots_, larger);
    for (const slot& s : larger) {
        if (s.record_plus_one != 0)
            place(s.tag, s.record_plus_one);
    }
}

void key_index::insert(const submission_key& key, std::uint32_t record)
{
    if ((size_ + 1) * 4 > slots_.size() * 3)
        grow();
    place(tag_of(key), record + 1);
    ++size_;
}

void key_index::erase(const submission_key& key, std::uint32_t record)
{
    const auto mask = slots_.size() - 1;
    std::size_t hole = tag_of(key) & mask;
    while (slots_[hole].record_plus_one != record + 1)
        hole = (hole + 1) & mask;
    // Backward-shift deletion: moves each later entry that could no longer be found, because its
    // probe sequence would stop at the hole.
    for (std::size_t i = (hole + 1) & mask; slots_[i].record_plus_one != 0; i = (i + 1) & mask) {
        const auto home = slots_[i].tag & mask;
        if (((i - home) & mask) >= ((i - hole) & mask)) {
            slots_[hole] = slots_[i];
            hole = i;
        }
    }
    slots_[hole] = {};
    --size_;
}

} // namespace chivewharf::submission
