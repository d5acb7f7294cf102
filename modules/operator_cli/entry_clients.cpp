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
    if (body.is_object() && body.contains("reason"))
        return body.value("reason", "") + ": " + body.value("message", "");
    return "HTTP status " + std::to_string(status);
}

entry_clients::entry_clients(std::vector<std::string> addresses, std::string authorization,
                             time_point deadline)
    : addresses_{std::move(addresses)}, authorization_{std::move(authorization)}, calls_{deadline}
{
}

std::vector<entry_answer> entry_clients::ask(const std::string& method, const std::string& path)
{
    std::vector<runtime::http_call> calls;
    for (const auto& address : addresses_) {
        runtime::http_call call;
        call.method = method;
        call.url = "http://" + address + path;
        call.headers.push_back({"Authorization", authorization_});
        call.timeout = call_timeout;
        calls.push_back(std::move(call));
    }
    const auto results = calls_.run(std::move(calls));
    std::vector<entry_answer> answers;
    for (std::size_t i = 0; i < results.size(); ++i) {
        entry_answer one{addresses_[i], false, results[i].status, nullptr};
        one.reached = results[i].outcome == runtime::call_outcome::answered;
        if (one.reached) {
            one.body = json::parse(results[i].body, nullptr, false);
            if (one.body.is_discarded())
                one.body = nullptr;
        }
        answers.push_back(std::move(one));
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
