#pragma once

#include <base/time.h>
#include <fleet/types.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chivewharf::fleet {

/// The workers that the platform lists. An entry that vanishes is kept for a time, because entries
/// lapse while the store is away and come back with it.
class worker_directory {
public:
    /// An entry that has been missing for this long, with the store answering, is gone.
    static constexpr duration removal_grace = milliseconds{2500};

    /// Adds or replaces an entry.
    void put(worker_entry entry);

    /// The entry has vanished from the store.
    void remove(const std::string& id, time_point now);

    /// The store answered, or did not. While it does not, no entry is removed.
    void store_answered(bool answered, time_point now);

    /// Drops the entries whose grace is over.
    /// \return true if the list has changed since the last call
    bool refresh(time_point now);

    std::vector<worker_entry> list() const;

private:
    struct listed {
        worker_entry entry;
        std::optional<time_point> missing_since;
    };

    std::map<std::string, listed> entries_;
    bool store_answers_ = true;
    bool changed_ = false;
    bool any_missing_ = false;
};

} // namespace chivewharf::fleet
