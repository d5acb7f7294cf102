#include <operator_cli/entry_host_client.h>

#include <glib.h>

namespace chivewharf::operator_cli {

using nlohmann::json;

namespace {

constexpr duration call_timeout = seconds{2};

} // namespace

std::string entry_host_response::error_text() const
{
    if (!received)
        return "unreachable";
    if (body.is_object() && body.contains("reason")) {
        const auto message = body.value("message", "");
        return body.value("reason", "") + (message.empty() ? "" : ": " + message);
    }
    return "HTTP status " + std::to_string(status);
}

entry_host_client::entry_host_client(std::vector<std::string> addresses, std::string authorization,
                                     time_point deadline)
    : addresses_{std::move(addresses)}, authorization_{std::move(authorization)}, http_{deadline}
{
}

entry_host_response entry_host_client::to_response(const std::string& address,
                                                   const runtime::call_result& result)
{
    entry_host_response response{address, result.outcome == runtime::call_outcome::answered,
                                 result.status, nullptr};
    if (!response.received)
        return response;
    response.body = json::parse(result.body, nullptr, false);
    if (response.body.is_discarded())
        response.body = nullptr;
    return response;
}

runtime::http_call entry_host_client::make_call(const std::string& address,
                                                const std::string& method,
                                                const std::string& path) const
{
    runtime::http_call call;
    call.method = method;
    call.url = "http://" + address + path;
    call.headers.push_back({"Authorization", authorization_});
    call.timeout = call_timeout;
    return call;
}

std::vector<entry_host_response> entry_host_client::request_all(const std::string& method,
                                                                const std::string& path)
{
    std::vector<runtime::http_call> calls;
    for (const auto& address : addresses_)
        calls.push_back(make_call(address, method, path));
    auto results = http_.perform(std::move(calls));
    std::vector<entry_host_response> responses;
    for (std::size_t i = 0; i < results.size(); ++i) {
        if (results[i].outcome == runtime::call_outcome::lost)
            results[i] = http_.perform(make_call(addresses_[i], method, path));
        responses.push_back(to_response(addresses_[i], results[i]));
    }
    return responses;
}

std::string percent_encoded(std::string_view text)
{
    char* encoded =
        g_uri_escape_bytes(reinterpret_cast<const guint8*>(text.data()), text.size(), nullptr);
    std::string copy{encoded};
    g_free(encoded);
    return copy;
}

} // namespace chivewharf::operator_cli
