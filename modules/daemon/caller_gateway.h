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

/// Serves callers, operators, the balancer and the metrics over HTTP.
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

    /// Requests whose answers are not written to their end.
    std::size_t unfinished() const { return server_ ? server_->busy_connections() : 0; }

    /// What `/readyz` answers.
    void set_ready(bool ready) noexcept { ready_ = ready; }

    void answer(dispatch::answer_caller one);

    /// Takes new limits from the configuration in force.
    void apply(const settings::cluster_settings& settings);

private:
    using exchange_ptr = std::shared_ptr<runtime::http_exchange>;
    using handler = void (caller_gateway::*)(const exchange_ptr&, const dispatch::principal&);
    struct route {
        std::string_view method;
        std::string_view path;
        bool prefix;
        bool for_operators;
        handler handle;
    };
    struct open_request {
        exchange_ptr exchange;
        time_point arrived;
    };

    static const route routes[];

    void handle(const exchange_ptr& exchange);
    bool handle_probe(runtime::http_exchange& exchange);
    std::optional<dispatch::principal> authenticate(const runtime::http_exchange& exchange) const;
    void submit(const exchange_ptr& exchange, const dispatch::principal& who);
    void fetch(const exchange_ptr& exchange, const dispatch::principal& who);
    void cancel(const exchange_ptr& exchange, const dispatch::principal& who);
    void issue_ids(const exchange_ptr& exchange, const dispatch::principal& who);
    void serve_metrics(const exchange_ptr& exchange, const dispatch::principal& who);
    void status(const exchange_ptr& exchange, const dispatch::principal& who);
    void describe_submission(const exchange_ptr& exchange, const dispatch::principal& who);
    void describe_customer(const exchange_ptr& exchange, const dispatch::principal& who);
    void drain(const exchange_ptr& exchange, const dispatch::principal& who);
    void undrain(const exchange_ptr& exchange, const dispatch::principal& who);
    void set_drained(const exchange_ptr& exchange, const dispatch::principal& who, bool drained);
    void set_self_drained(runtime::http_exchange& exchange, const dispatch::principal& who,
                          bool drained);
    /// False while an operator keeps new callers away; requests that arrive are still served.
    bool is_ready() const noexcept { return ready_ && !drained_; }
    void ask_core(const exchange_ptr& exchange, wire::operation operation,
                  const dispatch::principal& who, std::string id);
    void refuse(runtime::http_exchange& exchange, reason why, std::string message = {});
    runtime::http_response limit_response(reason why);
    runtime::http_limits limits_of(const settings::cluster_settings& settings) const;

    core_loop& loop_;
    metrics::registry& metrics_;
    std::string address_;
    runtime::tls_files tls_;
    std::unique_ptr<runtime::http_server> server_;
    std::unordered_map<submission::waiter, open_request> open_;
    submission::waiter next_waiter_ = 1;
    std::uint16_t port_ = 0;
    bool ready_ = false;
    bool drained_ = false; ///< by an operator
    metrics::reason_counters& refusals_;
    metrics::latency_histogram& response_time_;
};

} // namespace chivewharf::daemon
