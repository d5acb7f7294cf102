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

/// Identifies a path that can be disturbed: from an entry host to one address.
struct route_name {
    /// Value of `from` on a route that several hosts share, until the first bytes of a connection
    /// identify the host.
    static constexpr int unknown = -1;

    int from;         ///< entry host
    target_kind kind; ///< what the path leads to
    int to;           ///< number of the entry host or runner; 0 for the platform
};

/// Effect on the connections of a path while the disturbance is active.
///  - `mute`: no bytes are forwarded, sockets stay open. `mute_forward`, `mute_backward`: the same
///    in one direction, from or to the entry host.
///  - `delay`: bytes are forwarded after a fixed delay.
///  - `cut`: open connections are reset and new ones refused.
enum class disturbance { mute, mute_forward, mute_backward, delay, cut };

/// TCP relay between the entry hosts and their peers, the platform and the runners. It injects
/// network faults into the connections.
class relay {
public:
    using selector = std::function<bool(const route_name&)>;
    /// Identifies the entry host from the first bytes that it sends; `unknown` if they do not name
    /// it.
    using identifier = std::function<int(std::string_view first_bytes)>;

    explicit relay(identifier identify = {});
    ~relay();
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    /// Adds a route that listens on `listen` and connects to `target`, both `address:port`. Exits
    /// the program with 1 if the address cannot be bound.
    void add(route_name name, const std::string& listen, const std::string& target);

    /// Begins a disturbance of the selected paths. It applies to open connections and to those
    /// that are opened while it is active.
    /// \return the number to pass to `end`
    int begin(disturbance kind, selector which);
    void end(int number);

    /// Stops forwarding on the open connections permanently, without closing them. New connections
    /// work.
    void silence_open(const selector& which);
    /// Resets the open connections. New ones work.
    void reset_open(const selector& which);

private:
    struct connection;
    struct route;
    struct active_disturbance {
        disturbance kind;
        selector which;
    };

    void listen(route& target);
    bool is_active(disturbance kind, const route_name& name) const;
    void apply_disturbances();

    identifier identify_;
    std::list<route> routes_;
    std::map<int, active_disturbance> active_;
    int last_number_ = 0;
};

} // namespace chivewharf::testing_support
