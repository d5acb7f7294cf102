#pragma once

#include <base/time.h>
#include <fleet/types.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chivewharf::fleet {

/// The workers listed in the platform's store. An entry that vanishes is kept for a grace period,
/// because entries expire while the store is unavailable and return with it.
class worker_directory {
public:
    /// An entry is removed once it has been missing for this long while the store answered.
    static constexpr duration removal_grace = milliseconds{2500};

    /// Adds or replaces an entry.
    /// \return true if it differs from the known one
    bool put(worker_entry entry);

    /// The entry has vanished from the store.
    void remove(const std::string& id, time_point now);

    /// Records whether the store answers. While it does not, no entry is removed.
    void store_answered(bool answered, time_point now);

    /// Removes the entries whose grace period has ended.
    /// \return true if the list has changed since the last call
    bool refresh(time_point now);

    std::vector<worker_entry> list() const;

private:
    struct listed {
        worker_entry entry;
        std::optional<time_point> missing_since;
    };

    std::map<std::string, listed> entries_;
    bool store_reachable_ = true;
    bool changed_ = false;
    bool any_missing_ = false;
};

} // namespace chivewharf::fleet
