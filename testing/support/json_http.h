#pragma once

#include <nlohmann/json.hpp>
#include <runtime/http_server.h>

namespace chivewharf::testing_support {

/// Response with a JSON body.
runtime::http_response json_response(unsigned status, const nlohmann::json& body);

/// Server without the limits of the daemon, for stand-ins.
std::unique_ptr<runtime::http_server> make_server(runtime::http_server::handler handle);

/// Listens or ends the program with a message.
/// \return the port
std::uint16_t listen_or_exit(runtime::http_server& server, const std::string& address);

/// Runs the main loop until SIGTERM or SIGINT.
/// \return the exit code of the program
int run_until_stopped();

} // namespace chivewharf::testing_support
