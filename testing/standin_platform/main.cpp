// Stand-in for the platform: append-only log streams and a list of hosts.
//
//   POST /log/STREAM                            appends the body
//   GET  /log/STREAM?from=N&limit=M&wait_ms=W   reads; waits up to W ms for the first record
//   GET  /hosts                                 the list of hosts
//   POST /control                               {"outage": bool, "lose_answers": N, "keep": N,
//                                                "delay_ms": N, "hosts": [...]};
//                                               absent keys keep their value
//   GET  /stats                                 counts

#include "log_store.h"

#include <iostream>
#include <list>
#include <memory>
#include <testing/support/json_http.h>
#include <testing/support/options.h>

namespace chivewharf::testing_support {
namespace {

using nlohmann::json;
using exchange_ptr = std::shared_ptr<runtime::http_exchange>;

constexpr std::string_view log_prefix = "/log/";

class platform {
public:
    void handle(const exchange_ptr& exchange)
    {
        const auto& request = exchange->request();
        if (request.path == "/control") {
            control(*exchange);
        }
        else if (request.path == "/stats") {
            exchange->respond(json_response(200, {{"appended", log_.appended()},
                                                  {"reads", reads_},
                                                  {"lost_answers", lost_answers_}}));
        }
        else if (outage_) {
            // During an outage requests are left unanswered.
            unanswered_.push_back(exchange);
        }
        else if (delay_ms_ > 0) {
            delay(exchange);
        }
        else {
            serve(exchange);
        }
    }

private:
    struct pending_read {
        pending_read(exchange_ptr e, std::string s, std::uint64_t f, std::size_t l)
            : exchange{std::move(e)}, stream{std::move(s)}, from{f}, limit{l}
        {
        }

        exchange_ptr exchange;
        std::string stream;
        std::uint64_t from;
        std::size_t limit;
        runtime::timer timeout;
    };

    void control(runtime::http_exchange& exchange)
    {
        const auto changes = json::parse(exchange.request().body, nullptr, false);
        if (!changes.is_object()) {
            exchange.respond(json_response(400, {{"error", "body is not an object"}}));
            return;
        }
        outage_ = changes.value("outage", outage_);
        answers_to_lose_ = changes.value("lose_answers", answers_to_lose_);
        delay_ms_ = changes.value("delay_ms", delay_ms_);
        if (changes.contains("keep"))
            log_.set_max_records(changes["keep"].get<std::size_t>());
        if (changes.contains("hosts")) {
            hosts_ = changes["hosts"];
            ++hosts_version_;
        }
        if (!outage_)
            answer_after_outage();
        exchange.respond(json_response(200, {{"ok", true}}));
    }

    void answer_after_outage()
    {
        for (const auto& exchange : unanswered_)
            exchange->respond(json_response(503, {{"error", "outage"}}));
        unanswered_.clear();
    }

    void delay(const exchange_ptr& exchange)
    {
        const auto wait = std::make_shared<runtime::timer>();
        wait->once(milliseconds{delay_ms_}, [this, exchange, wait] { serve(exchange); });
    }

    void serve(const exchange_ptr& exchange)
    {
        const auto& request = exchange->request();
        if (request.path == "/hosts") {
            exchange->respond(json_response(200, {{"as_of_ms", wall_now_ms()}, {"hosts", hosts_}}));
            return;
        }
        if (request.path.rfind(log_prefix, 0) != 0) {
            exchange->respond(json_response(404, {{"error", "unknown path"}}));
            return;
        }
        const auto stream = request.path.substr(log_prefix.size());
        if (request.method == "POST")
            append(exchange, stream);
        else
            read(exchange, stream);
    }

    void append(const exchange_ptr& exchange, const std::string& stream)
    {
        const auto offset = log_.append(stream, std::string{exchange->request().body});
        if (answers_to_lose_ > 0) {
            --answers_to_lose_;
            ++lost_answers_;
            unanswered_.push_back(exchange);
        }
        else {
            exchange->respond(json_response(200, {{"offset", offset}}));
        }
        wake_readers(stream);
    }

    static std::uint64_t query_number(const runtime::http_request& request, const char* name,
                                      std::uint64_t fallback)
    {
        const auto found = request.query.find(name);
        return found == request.query.end() ? fallback : std::stoull(found->second);
    }

    void read(const exchange_ptr& exchange, const std::string& stream)
    {
        ++reads_;
        const auto& request = exchange->request();
        const auto from = query_number(request, "from", 0);
        const auto limit = static_cast<std::size_t>(query_number(request, "limit", 100));
        const auto wait_ms = query_number(request, "wait_ms", 0);
        if (wait_ms == 0 || log_.next(stream) > from) {
            exchange->respond(json_response(200, log_.read(stream, from, limit)));
            return;
        }
        auto& pending = pending_reads_.emplace_back(
            std::make_unique<pending_read>(exchange, stream, from, limit));
        auto* key = pending.get();
        exchange->on_disconnect([this, key] { remove(key); });
        pending->timeout.once(milliseconds{wait_ms}, [this, key] { complete_read(key); });
    }

    void wake_readers(const std::string& stream)
    {
        std::vector<pending_read*> ready;
        for (const auto& pending : pending_reads_) {
            if (pending->stream == stream)
                ready.push_back(pending.get());
        }
        for (auto* pending : ready)
            complete_read(pending);
    }

    void complete_read(pending_read* pending)
    {
        const auto exchange = pending->exchange;
        const auto answer = log_.read(pending->stream, pending->from, pending->limit);
        remove(pending);
        exchange->respond(json_response(200, answer));
    }

    void remove(pending_read* pending)
    {
        pending_reads_.remove_if([pending](const auto& entry) { return entry.get() == pending; });
    }

    log_store log_;
    json hosts_ = json::array();
    std::uint64_t hosts_version_ = 1;
    std::list<exchange_ptr> unanswered_;
    std::list<std::unique_ptr<pending_read>> pending_reads_;
    bool outage_ = false;
    int answers_to_lose_ = 0;
    int delay_ms_ = 0;
    std::uint64_t reads_ = 0;
    std::uint64_t lost_answers_ = 0;
};

int run(int argc, char** argv)
{
    const auto options = read_options(argc, argv, {{"listen", "127.0.0.1:8091"}});
    platform standin;
    const auto server =
        make_server([&standin](const exchange_ptr& exchange) { standin.handle(exchange); });
    const auto port = listen_or_exit(*server, options.at("listen"));
    std::cout << "port=" << port << "\nready" << std::endl;
    return run_until_stopped();
}

} // namespace
} // namespace chivewharf::testing_support

int main(int argc, char** argv)
{
    return chivewharf::testing_support::run(argc, argv);
}
