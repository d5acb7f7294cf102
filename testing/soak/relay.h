#pragma once

#include <functional>
#include <list>
#include <memory>
#include <runtime/gobject_ptr.h>
#include <string>
#include <vector>

namespace chivewharf::soak {

enum class target_kind { peer, platform, runner };

/// One direction of traffic that can be disturbed: from an entry host to one address.
struct route_name {
    int from;         ///< entry host
    target_kind kind; ///< what it reaches
    int to;           ///< entry host, or number of the runner; 0 for the platform
};

/// TCP relay between the entry hosts and everything that they reach. Disturbances nest.
class relay {
public:
    using selector = std::function<bool(const route_name&)>;

    relay();
    ~relay();
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    /// Adds a route; ends the program if the address cannot be bound.
    void add(route_name name, const std::string& listen, const std::string& target);

    /// Passes nothing on the routes and keeps their sockets open, until `unmute`.
    void mute(const selector& which);
    void unmute(const selector& which);

    /// Open connections go silent for good; new ones work.
    void silence_open(const selector& which);

    /// Resets open connections and refuses new ones, until `join`.
    void cut(const selector& which);
    void join(const selector& which);

private:
    struct pipe;
    struct route;

    void listen(route& one);

    std::list<route> routes_;
};

} // namespace chivewharf::soak
