#pragma once

#include <nlohmann/json.hpp>
#include <runtime/http_server.h>

namespace chivewharf::testing_support {

/// Returns a response with a JSON body.
runtime::http_response json_response(unsigned status, const nlohmann::json& body);

/// Creates a server for a stand-in, with wider limits than those of the daemon.
std::unique_ptr<runtime::http_server> make_server(runtime::http_server::handler handle);

/// Starts listening. Prints a message and exits with 1 if the address cannot be bound.
/// \return the port
std::uint16_t listen_or_exit(runtime::http_server& server, const std::string& address);

/// Runs the main loop until SIGTERM or SIGINT.
/// \return the exit code for the program
int run_until_stopped();

} // namespace chivewharf::testing_support
