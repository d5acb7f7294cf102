#pragma once

#include <base/time.h>
#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace chivewharf::testing_support {

/// Append-only streams with offsets and a limited number of kept records.
class log_store {
public:
    /// \return the offset of the record
    std::uint64_t append(const std::string& stream, std::string data);

    /// Records from the offset on, in the form of the platform's answer.
    nlohmann::json read(const std::string& stream, std::uint64_t from, std::size_t limit) const;

    /// Number of records appended to all streams so far.
    std::uint64_t appended() const noexcept { return appended_; }

    /// Offset that the next record of the stream will get.
    std::uint64_t next(const std::string& stream) const;

    /// Forgets all but the last records of every stream, now and after each append.
    void keep_last(std::size_t count);

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

    void forget(stream_state& stream) const;

    std::map<std::string, stream_state> streams_;
    std::size_t kept_ = 100000;
    std::uint64_t appended_ = 0;
};

} // namespace chivewharf::testing_support
