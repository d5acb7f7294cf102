#pragma once

#include <daemon/core_loop.h>
#include <memory>
#include <runtime/http_client.h>
#include <runtime/supervisor.h>
#include <unordered_map>

namespace chivewharf::daemon {

/// HTTP client that sends tasks to runners and reports the outcome of each call to the core.
class upstream_gateway final : public runtime::supervised {
public:
    explicit upstream_gateway(core_loop& loop) : loop_{loop} {}

    std::string name() const override { return "upstreams"; }
    result<void, runtime::runtime_error>
    start(std::function<void(runtime::runtime_error)> failed) override;
    void stop() override;

    void send(dispatch::send_task task);
    void abort(const dispatch::abort_call& action);

private:
    void call_ended(dispatch::call_id call, runtime::call_result result);

    core_loop& loop_;
    std::unique_ptr<runtime::http_client> client_;
    std::unordered_map<dispatch::call_id, std::shared_ptr<runtime::http_client_call>> calls_;
};

} // namespace chivewharf::daemon
