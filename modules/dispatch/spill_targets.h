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

/// Entry hosts of other domains that reported free slots, to which tasks may spill.
class spill_targets {
public:
    void report(const std::string& host, const wire::load_report& load, time_point now);

    /// The host's link ended, so nothing can spill there.
    void remove(const std::string& host) { hosts_.erase(host); }

    /// Host with the most free slots for the service by a report of the last 5 s; none without one.
    std::optional<std::string> best(std::string_view service, time_point now) const;

    /// A task was sent to the host, or its answer came back.
    void sent(const std::string& host, const std::string& service);
    void answered(const std::string& host, const std::string& service);

    /// True while the host has not answered all that was sent to it.
    bool awaits(const std::string& host) const { return outstanding_.contains(host); }

private:
    struct host_load {
        time_point at;
        std::map<std::string, std::int64_t, std::less<>> free_slots; // by service
    };

    void change(const std::string& host, const std::string& service, int slots);

    std::map<std::string, host_load> hosts_;
    std::map<std::string, std::size_t> outstanding_;
};

} // namespace chivewharf::dispatch
