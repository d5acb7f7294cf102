#pragma once

#include <base/time.h>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <wire/messages.h>

namespace chivewharf::dispatch {

/// Entry hosts of other domains that reported free slots and to which tasks can be spilled.
class spill_targets {
public:
    /// Records the load report of a host.
    void report(const std::string& host, const wire::load_report& load, time_point now);

    /// Removes a host whose link was lost.
    void remove(const std::string& host) { hosts_.erase(host); }

    /// Host with the most free slots for the service, among reports of the last 5 s; none if no
    /// host has free slots.
    std::optional<std::string> best(std::string_view service, time_point now) const;

    /// Counts a task that was sent to the host, or one that the host answered.
    void sent(const std::string& host, const std::string& service);
    void answered(const std::string& host, const std::string& service);

    /// True while a task sent to the host has not been answered.
    bool awaits(const std::string& host) const { return outstanding_.contains(host); }

private:
    struct host_load {
        time_point at;
        std::map<std::string, std::int64_t, std::less<>> free_slots; // by service
    };

    void adjust_free_slots(const std::string& host, const std::string& service, int slots);

    std::map<std::string, host_load> hosts_;
    std::map<std::string, std::size_t> outstanding_;
};

} // namespace chivewharf::dispatch
