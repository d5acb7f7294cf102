#pragma once

#include <base/result.h>
#include <base/time.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chivewharf::daemon {

/// A host in the platform's list of live and leaving hosts.
struct listed_host {
    std::string name;
    std::string role; ///< `worker` or `entry`; others are not used
    std::string state;
    std::string domain;
    std::string address;
    bool operator==(const listed_host&) const = default;
};

/// The platform's list of hosts.
struct host_list {
    std::vector<listed_host> hosts;
    std::optional<wall_ms> as_of; ///< when the platform compiled the list, ms since 1970
};

/// Decodes the reply to `GET /hosts`. An entry that is not an object, or has a field of another
/// type, is left out.
/// \return an error message if the reply is not a list of hosts
result<host_list, std::string> decode_host_list(std::string_view body);

} // namespace chivewharf::daemon
