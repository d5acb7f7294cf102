#pragma once

#include <fleet/fleet_host.h>
#include <fleet/ports.h>
#include <metrics/registry.h>
#include <runtime/supervisor.h>

namespace chivewharf::daemon {

/// Front end that accepts callers' requests in the platform's protocol and passes them to the core.
/// The module `platform` implements it.
class caller_front : public runtime::supervised, public fleet::caller_port {
public:
    /// Sets the core and the metrics. Call it once, before `start`.
    virtual void attach(fleet::fleet_host& core, metrics::registry& metrics) = 0;

    /// Begins the planned stop: reports not ready to the load balancer, and closes each connection
    /// with its next response.
    virtual void begin_closing() = 0;

    /// Refuses further connections. May be called repeatedly.
    virtual void stop_listening() = 0;

    /// Closes the connections that are unused. May be called repeatedly.
    virtual void close_idle() = 0;

    /// Number of connections with a request that has begun to arrive, or with a response that the
    /// caller has not received.
    virtual std::size_t pending_responses() const = 0;
};

} // namespace chivewharf::daemon
