#pragma once

#include <base/time.h>
#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace chivewharf::testing_support {

/// In-memory append-only streams that retain a limited number of records each.
class log_store {
public:
    /// \return the offset of the new record
    std::uint64_t append(const std::string& stream, std::string data);

    /// Returns at most `limit` records starting at offset `from`, as the platform's JSON response.
    nlohmann::json read(const std::string& stream, std::uint64_t from, std::size_t limit) const;

    /// Total number of records appended to all streams.
    std::uint64_t appended() const noexcept { return appended_; }

    /// Offset of the next record to be appended to the stream.
    std::uint64_t next(const std::string& stream) const;

    /// Limits every stream to its last `count` records, now and after each append.
    void set_max_records(std::size_t count);

private:
    struct record {
        std::uint64_t offset;
        wall_ms time;
        std::string data;
    };
    struct stream_state {
        std::uint64_t next = 0;
        std::deque<record> records;
    };

    void trim(stream_state& stream) const;

    std::map<std::string, stream_state> streams_;
    std::size_t max_records_ = 100000;
    std::uint64_t appended_ = 0;
};

} // namespace chivewharf::testing_support
