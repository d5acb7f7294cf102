// Stand-in for callers: sends submissions over many connections and prints a JSON summary.
//
//   --targets A,B      entry hosts as IP:PORT, used in turn by the connections
//   --direct 1         the targets are runners and are called with the task protocol
//   --ids SOURCE       next (from Chivewharf-Next-Id), post (blocks from POST /v1/ids) or own
//   --rate N           submissions a second; 0 sends the next one when an answer has arrived
//   --run-ms A[-B]     run time of the tasks, uniformly distributed
//   --resubmit P, --cancel P   probability that a submission is sent again, is cancelled
//   --list 1           adds the id and the outcome of every submission to the summary
//   --hold-ms N        keeps the connections open for this time after the summary is printed

#include "load.h"

#include <iostream>
#include <runtime/main_loop.h>
#include <sstream>
#include <testing/support/options.h>

namespace chivewharf::testing_support {
namespace {

id_source parse_source(const std::string& text)
{
    if (text == "next")
        return id_source::next;
    if (text == "post")
        return id_source::post;
    if (text == "own")
        return id_source::own;
    std::cerr << "--ids: \"" << text << "\" is not next, post or own\n";
    std::exit(2);
}

load_options parse(const std::map<std::string, std::string>& values)
{
    load_options options;
    std::stringstream targets{values.at("targets")};
    for (std::string item; std::getline(targets, item, ',');)
        options.targets.push_back(item);
    options.direct = values.at("direct") == "1";
    options.token = values.at("token");
    options.service = values.at("service");
    options.id_prefix = values.at("id-prefix");
    options.ids = parse_source(values.at("ids"));
    options.connections = static_cast<unsigned>(std::stoul(values.at("connections")));
    options.requests = std::stoull(values.at("requests"));
    options.rate = std::stod(values.at("rate"));
    options.tasks = static_cast<unsigned>(std::stoul(values.at("tasks")));
    const auto& run = values.at("run-ms");
    options.least_run_ms = std::stod(run);
    const auto dash = run.find('-');
    options.most_run_ms =
        dash == std::string::npos ? options.least_run_ms : std::stod(run.substr(dash + 1));
    options.deadline_ms = std::stod(values.at("deadline-ms"));
    options.resubmit = std::stod(values.at("resubmit"));
    options.cancel = std::stod(values.at("cancel"));
    options.max_sends = static_cast<unsigned>(std::stoul(values.at("max-sends")));
    options.seed = std::stoull(values.at("seed"));
    return options;
}

int run(int argc, char** argv)
{
    const auto values = read_options(argc, argv,
                                     {{"targets", "127.0.0.1:8080"},
                                      {"direct", "0"},
                                      {"token", "demo-token"},
                                      {"service", "plugdesk"},
                                      {"ids", "next"},
                                      {"id-prefix", "caller-"},
                                      {"connections", "1"},
                                      {"requests", "1000"},
                                      {"rate", "0"},
                                      {"tasks", "1"},
                                      {"run-ms", "0"},
                                      {"deadline-ms", "2000"},
                                      {"resubmit", "0"},
                                      {"cancel", "0"},
                                      {"max-sends", "3"},
                                      {"seed", "1"},
                                      {"list", "0"},
                                      {"hold-ms", "0"}});
    runtime::main_loop* loop = nullptr;
    runtime::main_loop main{[&loop](int) { loop->quit(1); }};
    loop = &main;
    runtime::timer hold;
    std::unique_ptr<load> work;
    work = std::make_unique<load>(parse(values), [&] {
        std::cout << work->results().to_json(work->took(), work->submissions(),
                                             values.at("list") == "1")
                  << std::endl;
        hold.once(milliseconds{std::stoll(values.at("hold-ms"))}, [&main] { main.quit(0); });
    });
    work->start();
    return main.run();
}

} // namespace
} // namespace chivewharf::testing_support

int main(int argc, char** argv)
{
    return chivewharf::testing_support::run(argc, argv);
}
