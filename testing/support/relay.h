#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <runtime/gobject_ptr.h>
#include <string>
#include <string_view>

namespace chivewharf::testing_support {

enum class target_kind { peer, platform, runner };

/// One path that can be disturbed: from an entry host to one address.
struct route_name {
    /// Number of a host whose connections share a route with those of others, before the first
    /// bytes of the connection tell it.
    static constexpr int unknown = -1;

    int from;         ///< entry host
    target_kind kind; ///< what it reaches
    int to;           ///< entry host, or number of the runner; 0 for the platform
};

/// What is done to the connections of a path while it lasts.
///  - `mute`: nothing passes, sockets stay open. `mute_forward`, `mute_backward`: the same for one
///    direction, from or to the entry host. `delay`: bytes pass later.
///  - `cut`: open connections are reset, and new ones refused.
enum class disturbance { mute, mute_forward, mute_backward, delay, cut };

/// TCP relay between the entry hosts and everything that they reach.
class relay {
public:
    using selector = std::function<bool(const route_name&)>;
    /// Tells the entry host from the first bytes that it sends; `unknown` if they do not name it.
    using identifier = std::function<int(std::string_view first_bytes)>;

    explicit relay(identifier identify = {});
    ~relay();
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    /// Adds a route; ends the program if the address cannot be bound.
    void add(route_name name, const std::string& listen, const std::string& target);

    /// Begins a disturbance, also of connections that are opened later.
    /// \return its number, for `end`
    int begin(disturbance kind, selector which);
    void end(int number);

    /// Open connections go silent for good; new ones work.
    void silence_open(const selector& which);
    /// Resets open connections; new ones work.
    void reset_open(const selector& which);

private:
    struct pipe;
    struct route;
    struct active {
        disturbance kind;
        selector which;
    };

    void listen(route& one);
    bool is(disturbance kind, const route_name& name) const;
    void apply();

    identifier identify_;
    std::list<route> routes_;
    std::map<int, active> active_;
    int last_ = 0;
};

} // namespace chivewharf::testing_support
