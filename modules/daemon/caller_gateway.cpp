#include <daemon/caller_gateway.h>

#include <algorithm>
#include <base/log_line.h>
#include <charconv>
#include <nlohmann/json.hpp>

namespace chivewharf::daemon {

using runtime::http_exchange;
using runtime::http_response;

namespace {

constexpr std::string_view bearer_prefix = "Bearer ";
constexpr std::string_view submissions_path = "/v1/submissions/";
constexpr std::string_view admin_submissions_path = "/v1/admin/submissions/";
constexpr std::string_view admin_customers_path = "/v1/admin/customers/";
constexpr std::uint64_t max_ids = 1000;
constexpr std::uint64_t max_wait_ms = 3'600'000;

/// Value of a numeric query parameter.
/// \return none if the parameter is absent, a message if it is not a number from `min` to `max`
result<std::optional<std::uint64_t>, std::string> query_number(const runtime::http_request& request,
                                                               const std::string& name,
                                                               std::uint64_t min, std::uint64_t max)
{
    const auto found = request.query.find(name);
    if (found == request.query.end())
        return std::nullopt;
    const auto& text = found->second;
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size() || value < min ||
        value > max)
        return unexpected{name + ": \"" + text + "\" is not a number from " + std::to_string(min) +
                          " to " + std::to_string(max)};
    return std::optional{value};
}

http_response to_response(dispatch::caller_answer answer)
{
    http_response response;
    response.status = answer.status;
    response.body = std::move(answer.body);
    if (answer.retry_after > duration{0}) {
        const auto whole_seconds = (to_ms(answer.retry_after) + 999) / 1000;
        response.headers.push_back({"Retry-After", std::to_string(whole_seconds)});
        response.headers.push_back(
            {"Chivewharf-Retry-After-Ms", std::to_string(to_ms(answer.retry_after))});
    }
    return response;
}

} // namespace

// The first matching route is used, so a path must precede its own prefixes.
const caller_gateway::route caller_gateway::routes[] = {
    {"POST", "/v1/submissions", false, false, &caller_gateway::submit},
    {"GET", submissions_path, true, false, &caller_gateway::fetch},
    {"DELETE", submissions_path, true, false, &caller_gateway::cancel},
    {"POST", "/v1/ids", false, false, &caller_gateway::issue_ids},
    {"GET", "/metrics", false, true, &caller_gateway::serve_metrics},
    {"GET", "/v1/admin/status", false, true, &caller_gateway::status},
    {"GET", admin_submissions_path, true, true, &caller_gateway::describe_submission},
    {"GET", admin_customers_path, true, true, &caller_gateway::describe_customer},
    {"POST", "/v1/admin/drain", false, true, &caller_gateway::drain},
    {"POST", "/v1/admin/undrain", false, true, &caller_gateway::undrain},
};

caller_gateway::caller_gateway(core_loop& loop, metrics::registry& metrics, std::string address,
                               runtime::tls_files tls)
    : loop_{loop}, metrics_{metrics}, address_{std::move(address)}, tls_{std::move(tls)},
      refusals_{metrics.reasons("chivewharf_refusals_total")}, response_time_{metrics.histogram(
                                                                   "chivewharf_response_seconds")}
{
}

runtime::http_limits caller_gateway::limits_of(const settings::cluster_settings& settings) const
{
    return {static_cast<std::size_t>(settings.callers.max_body_bytes),
            static_cast<std::size_t>(settings.callers.max_connections),
            settings.callers.header_timeout};
}

result<void, runtime::runtime_error>
caller_gateway::start(std::function<void(runtime::runtime_error)> /*failed*/)
{
    server_ = std::make_unique<runtime::http_server>(
        limits_of(loop_.core().settings()),
        [this](const exchange_ptr& exchange) { handle(exchange); },
        [this](reason code) { return limit_response(code); });
    const auto port = server_->listen(address_, tls_);
    if (!port)
        return unexpected{port.error()};
    port_ = *port;
    log_line{"callers_listening"}.add("address", address_).add("port", int{port_}).write();
    return {};
}

void caller_gateway::stop()
{
    server_.reset();
    open_requests_.clear();
}

void caller_gateway::apply(const settings::cluster_settings& settings)
{
    if (server_)
        server_->set_limits(limits_of(settings));
}

http_response caller_gateway::limit_response(reason code)
{
    refusals_.add(code);
    auto refusal = dispatch::render_refusal(code, work_state::not_run, {});
    return to_response(std::move(refusal));
}

void caller_gateway::close_idle()
{
    if (server_)
        server_->close_idle();
}

void caller_gateway::respond(http_exchange& exchange, http_response response) const
{
    if (closing_)
        response.headers.push_back({"Connection", "close"});
    exchange.respond(std::move(response));
}

void caller_gateway::refuse(http_exchange& exchange, reason code, std::string message)
{
    refusals_.add(code);
    respond(exchange, to_response(dispatch::render_refusal(code, work_state::not_run, {},
                                                           std::move(message))));
}

std::optional<dispatch::principal> caller_gateway::authenticate(const http_exchange& exchange) const
{
    const auto field = exchange.header("Authorization");
    if (!field || !field->starts_with(bearer_prefix))
        return std::nullopt;
    return loop_.core().authenticate(field->substr(bearer_prefix.size()));
}

bool caller_gateway::handle_probe(http_exchange& exchange)
{
    const auto& path = exchange.request().path;
    if (path != "/healthz" && path != "/readyz")
        return false;
    const bool healthy = path == "/healthz" || is_ready();
    respond(exchange, {healthy ? 200U : 503U, healthy ? "ok\n" : "not ready\n", "text/plain", {}});
    return true;
}

void caller_gateway::handle(const exchange_ptr& exchange)
{
    if (handle_probe(*exchange))
        return;
    const auto principal = authenticate(*exchange);
    if (!principal) {
        refuse(*exchange, reason::unauthenticated);
        return;
    }
    const auto& request = exchange->request();
    for (const auto& candidate : routes) {
        const bool matches = candidate.is_prefix ? request.path.starts_with(candidate.path)
                                                 : request.path == candidate.path;
        if (!matches || request.method != candidate.method)
            continue;
        if (candidate.for_operators != principal->is_operator) {
            refuse(*exchange, reason::forbidden);
            return;
        }
        (this->*candidate.handle)(exchange, *principal);
        return;
    }
    refuse(*exchange, reason::unknown_route, request.method + ' ' + request.path);
}

void caller_gateway::submit(const exchange_ptr& exchange, const dispatch::principal& principal)
{
    const auto id = exchange->header("Idempotency-Key");
    if (!id) {
        refuse(*exchange, reason::missing_id, "header Idempotency-Key is missing");
        return;
    }
    send_to_core(exchange, wire::operation::submit, principal, std::string{*id});
}

void caller_gateway::fetch(const exchange_ptr& exchange, const dispatch::principal& principal)
{
    send_to_core(exchange, wire::operation::fetch, principal,
                 exchange->request().path.substr(submissions_path.size()));
}

void caller_gateway::cancel(const exchange_ptr& exchange, const dispatch::principal& principal)
{
    send_to_core(exchange, wire::operation::cancel, principal,
                 exchange->request().path.substr(submissions_path.size()));
}

void caller_gateway::send_to_core(const exchange_ptr& exchange, wire::operation operation,
                                  const dispatch::principal& principal, std::string id)
{
    const auto& request = exchange->request();
    const auto wait = query_number(request, "wait_ms", 0, max_wait_ms);
    if (!wait) {
        refuse(*exchange, reason::malformed_request, wait.error());
        return;
    }
    const auto max_id = static_cast<std::size_t>(loop_.core().settings().callers.max_id_bytes);
    if (id.size() > max_id) {
        refuse(*exchange, reason::invalid_id,
               "the id is longer than " + std::to_string(max_id) + " bytes");
        return;
    }
    const auto waiter = next_waiter_++;
    open_requests_.emplace(waiter, open_request{exchange, boot_clock::now()});
    exchange->on_disconnect([this, waiter] {
        open_requests_.erase(waiter);
        loop_.event([waiter](auto& core, const auto& at) { core.caller_gone(waiter, at); });
    });
    dispatch::caller_request core_request{
        waiter, operation, principal.name, std::move(id), std::string{request.body}, {}};
    if (*wait)
        core_request.wait = milliseconds{**wait};
    loop_.event(
        [&core_request](auto& core, const auto& at) { core.request(std::move(core_request), at); });
}

void caller_gateway::answer(dispatch::answer_caller action)
{
    const auto found = open_requests_.find(action.waiter);
    if (found == open_requests_.end())
        return;
    const auto request = std::move(found->second);
    open_requests_.erase(found);
    response_time_.observe(boot_clock::now() - request.arrived);
    auto response = to_response(std::move(action.answer));
    auto next = loop_.core().issue_ids(1, core_loop::now());
    response.headers.push_back({"Chivewharf-Next-Id", std::move(next.front())});
    respond(*request.exchange, std::move(response));
}

void caller_gateway::issue_ids(const exchange_ptr& exchange,
                               const dispatch::principal& /*principal*/)
{
    const auto count = query_number(exchange->request(), "count", 1, max_ids);
    if (!count) {
        refuse(*exchange, reason::malformed_request, count.error());
        return;
    }
    const auto ids = loop_.core().issue_ids(count->value_or(1), core_loop::now());
    respond(*exchange, {200, nlohmann::json{{"ids", ids}}.dump(), "application/json", {}});
}

void caller_gateway::serve_metrics(const exchange_ptr& exchange,
                                   const dispatch::principal& /*principal*/)
{
    metrics_.gauge("chivewharf_open_connections") =
        static_cast<double>(server_->open_connections());
    respond(*exchange,
            {200, metrics_.prometheus_text(), "text/plain; version=0.0.4; charset=utf-8", {}});
}

void caller_gateway::status(const exchange_ptr& exchange, const dispatch::principal& /*principal*/)
{
    auto report = nlohmann::json::parse(loop_.core().status_json());
    report["ready"] = is_ready();
    report["drained"] = drained_;
    respond(*exchange, {200, report.dump(), "application/json", {}});
}

void caller_gateway::describe_submission(const exchange_ptr& exchange,
                                         const dispatch::principal& /*principal*/)
{
    const auto& request = exchange->request();
    const auto customer = request.query.find("customer");
    if (customer == request.query.end()) {
        refuse(*exchange, reason::malformed_request, "query parameter customer is missing");
        return;
    }
    const auto id = request.path.substr(admin_submissions_path.size());
    respond(*exchange, {200,
                        loop_.core().submission_json(customer->second, id, boot_clock::now()),
                        "application/json",
                        {}});
}

void caller_gateway::describe_customer(const exchange_ptr& exchange,
                                       const dispatch::principal& /*principal*/)
{
    const auto name = exchange->request().path.substr(admin_customers_path.size());
    auto report = loop_.core().customer_json(name, boot_clock::now());
    if (!report) {
        refuse(*exchange, reason::unknown_route, "customer \"" + name + "\" does not exist");
        return;
    }
    respond(*exchange, {200, std::move(*report), "application/json", {}});
}

void caller_gateway::drain(const exchange_ptr& exchange, const dispatch::principal& principal)
{
    set_drained(exchange, principal, true);
}

void caller_gateway::undrain(const exchange_ptr& exchange, const dispatch::principal& principal)
{
    set_drained(exchange, principal, false);
}

void caller_gateway::set_drained(const exchange_ptr& exchange, const dispatch::principal& principal,
                                 bool drained)
{
    const auto& query = exchange->request().query;
    if (const auto self = query.find("self"); self != query.end() && self->second == "1") {
        set_self_drained(*exchange, principal, drained);
        return;
    }
    const auto worker = query.find("worker");
    if (worker == query.end()) {
        refuse(*exchange, reason::malformed_request, "query parameter worker is missing");
        return;
    }
    bool known = false;
    loop_.event([&](auto& core, const auto& at) {
        known = core.drain_worker(worker->second, drained, at);
    });
    log_line{drained ? "worker_drained" : "worker_undrained"}
        .add("worker", worker->second)
        .add("operator", principal.name)
        .add("known", known ? "true" : "false")
        .write();
    ++metrics_.counter("chivewharf_operator_actions_total",
                       drained ? "action=\"drain\"" : "action=\"undrain\"");
    if (!known) {
        refuse(*exchange, reason::unknown_route,
               "worker \"" + worker->second + "\" does not exist in this domain");
        return;
    }
    respond(*exchange, {200, R"({"ok":true})", "application/json", {}});
}

void caller_gateway::set_self_drained(runtime::http_exchange& exchange,
                                      const dispatch::principal& principal, bool drained)
{
    drained_ = drained;
    log_line{drained ? "host_drained" : "host_undrained"}.add("operator", principal.name).write();
    ++metrics_.counter("chivewharf_operator_actions_total",
                       drained ? "action=\"drain_self\"" : "action=\"undrain_self\"");
    respond(exchange, {200, R"({"ok":true})", "application/json", {}});
}

} // namespace chivewharf::daemon
