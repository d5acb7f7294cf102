#pragma once

#include <base/time.h>
#include <cstddef>
#include <cstdint>
#include <fleet/owner_view.h>
#include <map>
#include <string>
#include <wire/messages.h>

namespace chivewharf::fleet {

/// Number of tasks that this host has sent to each owner since the owner's last report, which does
/// not count them yet.
///
/// For a burst between two reports: without this record, a host would send all of it to the
/// owner that had the most room in its last report.
class sent_tasks {
public:
    /// Number of shards that are recorded. Beyond it, the record with the oldest report is dropped.
    static constexpr std::size_t max_shards = 256;

    /// Tasks were sent to the owner, which was chosen by the given view.
    void add(const owner_view& owner, std::uint64_t tasks);

    /// Tasks sent since the report that the view is based on.
    std::uint64_t since_report(const owner_view& owner) const;

    std::size_t shards() const noexcept { return records_.size(); }

private:
    struct record {
        std::string host;
        time_point reported{}; ///< of the report that the tasks are not part of
        std::uint64_t tasks = 0;
    };

    static bool is_current(const record& one, const owner_view& owner);
    void drop_oldest();

    std::map<wire::shard, record> records_;
};

} // namespace chivewharf::fleet
