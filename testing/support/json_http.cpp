#include "json_http.h"

#include <cstdlib>
#include <iostream>
#include <runtime/main_loop.h>

namespace chivewharf::testing_support {

runtime::http_response json_response(unsigned status, const nlohmann::json& body)
{
    return {status, body.dump(), "application/json", {}};
}

std::unique_ptr<runtime::http_server> make_server(runtime::http_server::handler handle)
{
    const runtime::http_limits limits{16U << 20U, 10000, seconds{60}};
    return std::make_unique<runtime::http_server>(limits, std::move(handle), [](reason refusal) {
        return json_response(503, {{"error", to_name(refusal)}});
    });
}

std::uint16_t listen_or_exit(runtime::http_server& server, const std::string& address)
{
    const auto port = server.listen(address);
    if (!port) {
        std::cerr << port.error().message << '\n';
        std::exit(1);
    }
    return *port;
}

int run_until_stopped()
{
    runtime::main_loop* loop_pointer = nullptr;
    runtime::main_loop loop{[&loop_pointer](int) { loop_pointer->quit(0); }};
    loop_pointer = &loop;
    return loop.run();
}

} // namespace chivewharf::testing_support
