// Stand-in for the platform: append-only log streams and a list of hosts.
//
//   POST /log/STREAM                            appends the body
//   GET  /log/STREAM?from=N&limit=M&wait_ms=W   reads; waits up to W ms for a first record
//   GET  /hosts                                 the list of hosts
//   POST /control                               {"outage": bool, "lose_answers": N, "keep": N,
//                                                "delay_ms": N, "hosts": [...]}; absent keys stay
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
            exchange->respond(json_response(
                200, {{"appended", log_.appended()}, {"reads", reads_}, {"lost_answers", lost_}}));
        }
        else if (outage_) {
            // An unanswered request is what an outage looks like to a caller.
            hung_.push_back(exchange);
        }
        else if (delay_ms_ > 0) {
            delay(exchange);
        }
        else {
            serve(exchange);
        }
    }

private:
    struct waiting_read {
        waiting_read(exchange_ptr e, std::string s, std::uint64_t f, std::size_t l)
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
        const auto wanted = json::parse(exchange.request().body, nullptr, false);
        if (!wanted.is_object()) {
            exchange.respond(json_response(400, {{"error", "body is not an object"}}));
            return;
        }
        outage_ = wanted.value("outage", outage_);
        lose_answers_ = wanted.value("lose_answers", lose_answers_);
        delay_ms_ = wanted.value("delay_ms", delay_ms_);
        if (wanted.contains("keep"))
            log_.keep_last(wanted["keep"].get<std::size_t>());
        if (wanted.contains("hosts")) {
            hosts_ = wanted["hosts"];
            ++hosts_version_;
        }
        if (!outage_)
            drop_hung();
        exchange.respond(json_response(200, {{"ok", true}}));
    }

    void drop_hung()
    {
        for (const auto& one : hung_)
            one->respond(json_response(503, {{"error", "outage"}}));
        hung_.clear();
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
        if (lose_answers_ > 0) {
            --lose_answers_;
            ++lost_;
            hung_.push_back(exchange);
        }
        else {
            exchange->respond(json_response(200, {{"offset", offset}}));
        }
        wake(stream);
    }

    static std::uint64_t number(const runtime::http_request& request, const char* name,
                                std::uint64_t fallback)
    {
        const auto found = request.query.find(name);
        return found == request.query.end() ? fallback : std::stoull(found->second);
    }

    void read(const exchange_ptr& exchange, const std::string& stream)
    {
        ++reads_;
        const auto& request = exchange->request();
        const auto from = number(request, "from", 0);
        const auto limit = static_cast<std::size_t>(number(request, "limit", 100));
        const auto wait_ms = number(request, "wait_ms", 0);
        if (wait_ms == 0 || log_.next(stream) > from) {
            exchange->respond(json_response(200, log_.read(stream, from, limit)));
            return;
        }
        auto& waiting =
            waiting_.emplace_back(std::make_unique<waiting_read>(exchange, stream, from, limit));
        auto* key = waiting.get();
        exchange->on_disconnect([this, key] { remove(key); });
        waiting->timeout.once(milliseconds{wait_ms}, [this, key] { finish(key); });
    }

    void wake(const std::string& stream)
    {
        std::vector<waiting_read*> ready;
        for (const auto& one : waiting_) {
            if (one->stream == stream)
                ready.push_back(one.get());
        }
        for (auto* one : ready)
            finish(one);
    }

    void finish(waiting_read* one)
    {
        const auto exchange = one->exchange;
        const auto answer = log_.read(one->stream, one->from, one->limit);
        remove(one);
        exchange->respond(json_response(200, answer));
    }

    void remove(waiting_read* one)
    {
        waiting_.remove_if([one](const auto& entry) { return entry.get() == one; });
    }

    log_store log_;
    json hosts_ = json::array();
    std::uint64_t hosts_version_ = 1;
    std::list<exchange_ptr> hung_;
    std::list<std::unique_ptr<waiting_read>> waiting_;
    bool outage_ = false;
    int lose_answers_ = 0;
    int delay_ms_ = 0;
    std::uint64_t reads_ = 0;
    std::uint64_t lost_ = 0;
};

int run(int argc, char** argv)
{
    const auto options = read_options(argc, argv, {{"listen", "127.0.0.1:8091"}});
    platform all;
    const auto server = make_server([&all](const exchange_ptr& exchange) { all.handle(exchange); });
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
