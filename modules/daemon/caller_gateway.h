#pragma once

#include <daemon/core_loop.h>
#include <memory>
#include <metrics/registry.h>
#include <optional>
#include <runtime/http_server.h>
#include <runtime/supervisor.h>
#include <string>
#include <string_view>
#include <unordered_map>

namespace chivewharf::daemon {

/// HTTP server for callers, operators, the load balancer's probes and the metrics.
class caller_gateway final : public runtime::supervised {
public:
    /// \param address `IP:PORT`
    caller_gateway(core_loop& loop, metrics::registry& metrics, std::string address,
                   runtime::tls_files tls);

    std::string name() const override { return "callers"; }
    result<void, runtime::runtime_error>
    start(std::function<void(runtime::runtime_error)> failed) override;
    void stop() override;

    /// Port that the server listens on; 0 before `start`.
    std::uint16_t port() const noexcept { return port_; }

    /// Number of requests whose responses have not been written completely.
    std::size_t pending_responses() const { return server_ ? server_->busy_connections() : 0; }

    /// Sets whether `/readyz` reports this host as ready. While an operator has drained the host,
    /// it is reported as not ready in any case.
    void set_ready(bool ready) noexcept { ready_ = ready; }

    /// Begins the planned stop: each connection is closed with its next response.
    void begin_closing() noexcept { closing_ = true; }

    /// Closes the connections that are unused. May be called repeatedly.
    void close_idle();

    /// Sends the response to a request. Does nothing if the caller has disconnected.
    void answer(dispatch::answer_caller action);

    /// Applies the limits of a new configuration.
    void apply(const settings::cluster_settings& settings);

private:
    using exchange_ptr = std::shared_ptr<runtime::http_exchange>;
    using handler = void (caller_gateway::*)(const exchange_ptr&, const dispatch::principal&);
    struct route {
        std::string_view method;
        std::string_view path;
        bool is_prefix; ///< also matches paths that begin with `path`
        bool for_operators;
        handler handle;
    };
    struct open_request {
        exchange_ptr exchange;
        time_point arrived;
    };

    static const route routes[];

    void handle(const exchange_ptr& exchange);
    void respond(runtime::http_exchange& exchange, runtime::http_response response) const;
    bool handle_probe(runtime::http_exchange& exchange);
    std::optional<dispatch::principal> authenticate(const runtime::http_exchange& exchange) const;
    void submit(const exchange_ptr& exchange, const dispatch::principal& principal);
    void fetch(const exchange_ptr& exchange, const dispatch::principal& principal);
    void cancel(const exchange_ptr& exchange, const dispatch::principal& principal);
    void issue_ids(const exchange_ptr& exchange, const dispatch::principal& principal);
    void serve_metrics(const exchange_ptr& exchange, const dispatch::principal& principal);
    void status(const exchange_ptr& exchange, const dispatch::principal& principal);
    void describe_submission(const exchange_ptr& exchange, const dispatch::principal& principal);
    void describe_customer(const exchange_ptr& exchange, const dispatch::principal& principal);
    void drain(const exchange_ptr& exchange, const dispatch::principal& principal);
    void undrain(const exchange_ptr& exchange, const dispatch::principal& principal);
    void set_drained(const exchange_ptr& exchange, const dispatch::principal& principal,
                     bool drained);
    void set_self_drained(runtime::http_exchange& exchange, const dispatch::principal& principal,
                          bool drained);
    /// Whether the load balancer may send new callers here. Requests that arrive while it is false
    /// are still served.
    bool is_ready() const noexcept { return ready_ && !drained_; }
    void send_to_core(const exchange_ptr& exchange, wire::operation operation,
                      const dispatch::principal& principal, std::string id);
    void refuse(runtime::http_exchange& exchange, reason code, std::string message = {});
    runtime::http_response limit_response(reason code);
    runtime::http_limits limits_of(const settings::cluster_settings& settings) const;

    core_loop& loop_;
    metrics::registry& metrics_;
    std::string address_;
    runtime::tls_files tls_;
    std::unique_ptr<runtime::http_server> server_;
    std::unordered_map<submission::waiter, open_request> open_requests_;
    submission::waiter next_waiter_ = 1;
    std::uint16_t port_ = 0;
    bool ready_ = false;
    bool closing_ = false; ///< a planned stop has begun
    bool drained_ = false; ///< an operator has drained this host
    metrics::reason_counters& refusals_;
    metrics::latency_histogram& response_time_;
};

} // namespace chivewharf::daemon
