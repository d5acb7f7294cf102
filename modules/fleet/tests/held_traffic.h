#pragma once

#include <base/time.h>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace chivewharf::fleet {

/// Bytes that were sent on paths that are cut. As with TCP, they arrive in order once the path is
/// back, unless the sender's kernel has given them up by then.
class held_traffic {
public:
    /// Sender and receiver.
    using path = std::pair<std::string, std::string>;
    using arrival = std::function<void()>;

    /// The sender's kernel gives up bytes that remain unacknowledged for this long.
    static constexpr duration unacknowledged_limit = seconds{4};

    void hold(const path& where, time_point now, arrival call)
    {
        held_[where].push_back({now, std::move(call)});
    }

    bool holds(const path& where) const { return held_.contains(where); }

    /// Removes what is held on the path.
    /// \return the arrivals in the order of sending
    std::vector<arrival> release(const path& where)
    {
        std::vector<arrival> arrivals;
        const auto found = held_.find(where);
        if (found == held_.end())
            return arrivals;
        for (auto& one : found->second)
            arrivals.push_back(std::move(one.call));
        held_.erase(found);
        return arrivals;
    }

    /// Discards what is held on the path if its oldest bytes have reached the limit.
    /// \return true if anything was discarded
    bool give_up(const path& where, time_point now)
    {
        const auto found = held_.find(where);
        if (found == held_.end() || now - found->second.front().sent < unacknowledged_limit)
            return false;
        held_.erase(found);
        return true;
    }

private:
    struct held_arrival {
        time_point sent;
        arrival call;
    };

    std::map<path, std::deque<held_arrival>> held_;
};

} // namespace chivewharf::fleet
