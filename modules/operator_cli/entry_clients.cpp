#include <operator_cli/entry_clients.h>

#include <glib.h>

namespace chivewharf::operator_cli {

using nlohmann::json;

namespace {

constexpr duration call_timeout = seconds{2};

} // namespace

std::string entry_answer::fault() const
{
    if (!reached)
        return "unreachable";
    if (body.is_object() && body.contains("reason")) {
        const auto message = body.value("message", "");
        return body.value("reason", "") + (message.empty() ? "" : ": " + message);
    }
    return "HTTP status " + std::to_string(status);
}

entry_clients::entry_clients(std::vector<std::string> addresses, std::string authorization,
                             time_point deadline)
    : addresses_{std::move(addresses)}, authorization_{std::move(authorization)}, calls_{deadline}
{
}

entry_answer entry_clients::to_answer(const std::string& address,
                                      const runtime::call_result& result)
{
    entry_answer one{address, result.outcome == runtime::call_outcome::answered, result.status,
                     nullptr};
    if (!one.reached)
        return one;
    one.body = json::parse(result.body, nullptr, false);
    if (one.body.is_discarded())
        one.body = nullptr;
    return one;
}

runtime::http_call entry_clients::make_call(const std::string& address, const std::string& method,
                                            const std::string& path) const
{
    runtime::http_call call;
    call.method = method;
    call.url = "http://" + address + path;
    call.headers.push_back({"Authorization", authorization_});
    call.timeout = call_timeout;
    return call;
}

std::vector<entry_answer> entry_clients::ask(const std::string& method, const std::string& path)
{
    std::vector<runtime::http_call> calls;
    for (const auto& address : addresses_)
        calls.push_back(make_call(address, method, path));
    auto results = calls_.run(std::move(calls));
    std::vector<entry_answer> answers;
    for (std::size_t i = 0; i < results.size(); ++i) {
        if (results[i].outcome == runtime::call_outcome::lost)
            results[i] = calls_.run(make_call(addresses_[i], method, path));
        answers.push_back(to_answer(addresses_[i], results[i]));
    }
    return answers;
}

std::string percent_encoded(std::string_view text)
{
    char* escaped =
        g_uri_escape_bytes(reinterpret_cast<const guint8*>(text.data()), text.size(), nullptr);
    std::string copy{escaped};
    g_free(escaped);
    return copy;
}

} // namespace chivewharf::operator_cli
