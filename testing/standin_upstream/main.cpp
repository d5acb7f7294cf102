// Stand-in for the upstreams: many runners of one service in one process, and a control port.
//
//   GET  /stats                        totals, tasks started more than once, state of each runner
//   GET  /starts                       number of starts of each task
//   GET  /ledger                       starts of each task: count, first and last time, where
//   POST /mode?runner=NAME&mode=MODE   sets the mode of a runner (or of "all")

#include "runner.h"

#include <iostream>
#include <memory>
#include <sstream>
#include <testing/support/options.h>
#include <vector>

namespace chivewharf::testing_support {
namespace {

struct upstreams {
    start_ledger ledger;
    std::vector<std::unique_ptr<runner>> runners;
};

std::vector<double> parse_speeds(const std::string& text)
{
    std::vector<double> speeds;
    std::stringstream stream{text};
    for (std::string item; std::getline(stream, item, ',');)
        speeds.push_back(std::stod(item));
    return speeds;
}

void control(upstreams& state, runtime::http_exchange& exchange)
{
    const auto& request = exchange.request();
    if (request.path == "/stats") {
        auto body = state.ledger.summary();
        for (const auto& runner : state.runners)
            body["runners"].push_back(runner->stats());
        exchange.respond(json_response(200, body));
        return;
    }
    if (request.path == "/starts") {
        exchange.respond(json_response(200, state.ledger.start_counts()));
        return;
    }
    if (request.path == "/ledger") {
        exchange.respond(json_response(200, state.ledger.start_details()));
        return;
    }
    const auto name = request.query.find("runner");
    const auto mode = request.query.find("mode");
    if (request.path == "/mode" && name != request.query.end() && mode != request.query.end()) {
        if (const auto parsed = from_name<runner_mode>(mode->second)) {
            for (const auto& runner : state.runners) {
                if (name->second == "all" || name->second == runner->name())
                    runner->set_mode(*parsed);
            }
            exchange.respond(json_response(200, {{"ok", true}}));
            return;
        }
    }
    exchange.respond(json_response(404, {{"error", "unknown control call"}}));
}

int run(int argc, char** argv)
{
    const auto options = read_options(argc, argv,
                                      {{"address", "127.0.0.1"},
                                       {"first-port", "8101"},
                                       {"count", "4"},
                                       {"slots", "8"},
                                       {"speeds", "1"},
                                       {"names", "worker-"},
                                       {"count-starts", "1"},
                                       {"control", "127.0.0.1:8100"}});
    upstreams state;
    const auto speeds = parse_speeds(options.at("speeds"));
    const int first_port = std::stoi(options.at("first-port"));
    for (int i = 0; i < std::stoi(options.at("count")); ++i) {
        const auto speed = speeds[static_cast<std::size_t>(i) % speeds.size()];
        state.runners.push_back(
            std::make_unique<runner>(options.at("names") + std::to_string(i + 1),
                                     static_cast<unsigned>(std::stoul(options.at("slots"))), speed,
                                     options.at("count-starts") == "1", state.ledger));
        const int port = first_port == 0 ? 0 : first_port + i;
        const auto bound =
            state.runners.back()->listen(options.at("address") + ':' + std::to_string(port));
        std::cout << "runner=" << state.runners.back()->name() << " port=" << bound << '\n';
    }
    const auto server =
        make_server([&state](const std::shared_ptr<runtime::http_exchange>& exchange) {
            control(state, *exchange);
        });
    const auto port = listen_or_exit(*server, options.at("control"));
    std::cout << "control port=" << port << "\nready" << std::endl;
    return run_until_stopped();
}

} // namespace
} // namespace chivewharf::testing_support

int main(int argc, char** argv)
{
    return chivewharf::testing_support::run(argc, argv);
}
