#pragma once

#include <base/time.h>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chivewharf::fleet {

/// A record of a compacted topic, which keeps the newest value of each key.
struct keyed_record {
    std::string key;
    std::optional<std::string> value; ///< none: the key was deleted
    std::uint64_t offset = 0;
};

/// Follows a compacted topic: reads pages with the newest record of each key first, then the
/// records after them. If the records that it needs next have been deleted, it starts over and
/// reports keys that have vanished in the meantime as deleted. It only decides what to read; the
/// caller does the reads.
class topic_follower {
public:
    /// What to read next: a page of newest records after a key, or records from an offset.
    struct request {
        bool newest = true;
        std::string after_key; ///< empty for the first page
        std::uint64_t offset = 0;
        std::size_t max_records = 0; ///< of a read from an offset; 0: as many as the store returns
    };

    using changed_function = std::function<void(const keyed_record&)>;

    /// \param changed called for each key with a newer record than this follower has seen
    explicit topic_follower(changed_function changed) : changed_{std::move(changed)} {}

    const request& next() const noexcept { return next_; }

    /// True once all keys have been read at least once.
    bool complete() const noexcept { return complete_; }

    /// Processes a page of newest records. `end` is the topic's end; `more` tells that further
    /// pages follow.
    void on_page(const std::vector<keyed_record>& records, bool more, std::uint64_t end);

    /// Processes records from `next().offset` on. Earlier ones among them are ignored.
    void on_records(const std::vector<keyed_record>& records);

    /// Skips to an offset, because all records before it are known.
    void advance(std::uint64_t offset);

    /// Starts over, because the records from `next().offset` on have been deleted or the topic ends
    /// before that offset.
    void restart();

private:
    void apply(const keyed_record& record);

    changed_function changed_;
    request next_;
    std::map<std::string, std::uint64_t> offsets_;   ///< newest known offset by key
    std::map<std::string, std::uint64_t> page_keys_; ///< keys of the pages read so far
    std::optional<std::uint64_t> snapshot_end_;      ///< end of the topic at the first page
    bool complete_ = false;
};

} // namespace chivewharf::fleet
