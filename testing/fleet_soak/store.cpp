#include "store.h"

#include <glib.h>
#include <testing/support/json_http.h>

namespace chivewharf::fleet_soak {

using nlohmann::json;
using testing_support::json_response;

namespace {

constexpr std::size_t length_bytes = 4;
constexpr std::size_t offset_bytes = 8;
constexpr std::size_t records_per_read = 1024;
constexpr duration tick_interval = milliseconds{10};
constexpr unsigned unavailable = 503;
constexpr unsigned deleted = 410;

void put_number(std::string& out, std::uint64_t number, std::size_t bytes)
{
    for (std::size_t i = bytes; i-- > 0;)
        out.push_back(static_cast<char>((number >> (8 * i)) & 0xffU));
}

std::string query(const runtime::http_exchange& exchange, const char* key)
{
    const auto found = exchange.request().query.find(key);
    return found == exchange.request().query.end() ? std::string{} : found->second;
}

std::size_t number(const std::string& text)
{
    return text.empty() ? 0 : std::stoull(text);
}

} // namespace

standin_store::standin_store(render make_value) : make_value_{std::move(make_value)}
{
    tick_.every(tick_interval, [this] { answer_waiting(); });
}

void standin_store::listen(int host, const std::string& address)
{
    servers_.push_back(testing_support::make_server(
        [this, host](const std::shared_ptr<runtime::http_exchange>& exchange) {
            handle(host, exchange);
        }));
    testing_support::listen_or_exit(*servers_.back(), address);
}

void standin_store::put(const std::string& topic, const std::string& key, const std::string& value)
{
    auto& log = topics_[topic];
    log.records.push_back({key, value});
    if (value.empty())
        log.newest.erase(key);
    else
        log.newest[key] = log.records.size() - 1;
    answer_waiting();
}

void standin_store::forget_history()
{
    for (auto& [name, log] : topics_)
        log.first = log.records.size();
}

void standin_store::handle(int host, const std::shared_ptr<runtime::http_exchange>& exchange)
{
    if (mode_ == store_mode::silent)
        return;
    if (mode_ == store_mode::refusing)
        return exchange->respond(json_response(unavailable, json::object()));
    const auto& path = exchange->request().path;
    if (path == "/log-append")
        append(exchange);
    else if (path == "/log-read")
        read(host, exchange);
    else if (path == "/log-newest")
        newest(host, exchange);
    else
        exchange->respond(json_response(404, json::object()));
}

void standin_store::append(const std::shared_ptr<runtime::http_exchange>& exchange)
{
    const auto topic = query(*exchange, "topic");
    auto body = exchange->request().body;
    const auto offset = topics_[topic].records.size();
    while (body.size() > length_bytes) {
        std::size_t size = 0;
        for (std::size_t i = 0; i < length_bytes; ++i)
            size = size << 8U | static_cast<unsigned char>(body[i]);
        const auto one = body.substr(length_bytes, size);
        const auto key_size = static_cast<unsigned char>(one[0]);
        put(topic, std::string{one.substr(1, key_size)}, std::string{one.substr(1U + key_size)});
        body.remove_prefix(length_bytes + size);
    }
    if (mode_ != store_mode::losing)
        exchange->respond(
            json_response(200, {{"offset", offset}, {"end", topics_[topic].records.size()}}));
}

void standin_store::read(int host, const std::shared_ptr<runtime::http_exchange>& exchange)
{
    const auto topic = query(*exchange, "topic");
    const auto from = number(query(*exchange, "from"));
    const auto& log = topics_[topic];
    if (from < log.first)
        return exchange->respond(json_response(deleted, {{"first", log.first}}));
    const auto wait = milliseconds{number(query(*exchange, "wait_ms"))};
    const waiting_read one{exchange, host, topic, from, boot_clock::now() + wait};
    if (from < log.records.size() || wait == milliseconds{0})
        respond_records(one);
    else
        waiting_.push_back(one);
}

void standin_store::respond_records(const waiting_read& to)
{
    const auto& log = topics_[to.topic];
    std::string body;
    put_number(body, log.records.size(), offset_bytes);
    put_number(body, log.first, offset_bytes);
    for (auto i = to.from; i < std::min(log.records.size(), to.from + records_per_read); ++i) {
        const auto& one = log.records[i];
        const auto value = one.value.empty() ? one.value : make_value_(one.value, to.host);
        put_number(body, 1 + one.key.size() + value.size(), length_bytes);
        put_number(body, one.key.size(), 1);
        body += one.key + value;
    }
    to.exchange->respond({200, body, "application/octet-stream", {}});
}

void standin_store::newest(int host, const std::shared_ptr<runtime::http_exchange>& exchange)
{
    const auto& log = topics_[query(*exchange, "topic")];
    json items = json::array();
    for (const auto& [key, offset] : log.newest) {
        const auto value = make_value_(log.records[offset].value, host);
        const runtime::gfree_ptr<gchar> text{
            g_base64_encode(reinterpret_cast<const guchar*>(value.data()), value.size())};
        items.push_back({{"key", key}, {"value", text.get()}, {"offset", offset}});
    }
    exchange->respond(
        json_response(200, {{"items", items}, {"more_pages", false}, {"end", log.records.size()}}));
}

void standin_store::answer_waiting()
{
    if (mode_ != store_mode::up)
        return;
    const auto now = boot_clock::now();
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        if (it->from >= topics_[it->topic].records.size() && now < it->until) {
            ++it;
            continue;
        }
        const auto one = *it;
        it = waiting_.erase(it);
        respond_records(one);
    }
}

} // namespace chivewharf::fleet_soak
