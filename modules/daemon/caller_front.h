#pragma once

#include <fleet/fleet_host.h>
#include <fleet/ports.h>
#include <runtime/supervisor.h>

namespace chivewharf::daemon {

/// The part that takes callers' requests on the platform and passes them to the core.
class caller_front : public runtime::supervised, public fleet::caller_port {
public:
    /// Sets the core. Call it once, before `start`.
    virtual void attach(fleet::fleet_host& core) = 0;

    /// From now on the balancer is told not to send new connections, and each response closes its
    /// connection.
    virtual void begin_closing() = 0;

    /// Accepts nothing new and closes idle connections. May be called again.
    virtual void close_idle() = 0;

    /// Requests whose responses are not written to their end.
    virtual std::size_t unfinished() const = 0;
};

} // namespace chivewharf::daemon
