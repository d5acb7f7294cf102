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
constexpr duration read_check_interval = milliseconds{10};
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_gone = 410;

void append_big_endian(std::string& out, std::uint64_t number, std::size_t bytes)
{
    for (std::size_t i = bytes; i-- > 0;)
        out.push_back(static_cast<char>((number >> (8 * i)) & 0xffU));
}

std::string query_parameter(const runtime::http_exchange& exchange, const char* key)
{
    const auto found = exchange.request().query.find(key);
    return found == exchange.request().query.end() ? std::string{} : found->second;
}

std::size_t parse_number(const std::string& text)
{
    return text.empty() ? 0 : std::stoull(text);
}

} // namespace

standin_store::standin_store(render render_value) : render_value_{std::move(render_value)}
{
    tick_.every(read_check_interval, [this] { answer_pending_reads(); });
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
    answer_pending_reads();
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
        return exchange->respond(json_response(status_unavailable, json::object()));
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
    const auto topic = query_parameter(*exchange, "topic");
    auto body = exchange->request().body;
    const auto offset = topics_[topic].records.size();
    while (body.size() > length_bytes) {
        std::size_t size = 0;
        for (std::size_t i = 0; i < length_bytes; ++i)
            size = size << 8U | static_cast<unsigned char>(body[i]);
        const auto encoded = body.substr(length_bytes, size);
        const auto key_size = static_cast<unsigned char>(encoded[0]);
        put(topic, std::string{encoded.substr(1, key_size)},
            std::string{encoded.substr(1U + key_size)});
        body.remove_prefix(length_bytes + size);
    }
    if (mode_ != store_mode::losing)
        exchange->respond(
            json_response(200, {{"offset", offset}, {"end", topics_[topic].records.size()}}));
}

void standin_store::read(int host, const std::shared_ptr<runtime::http_exchange>& exchange)
{
    const auto topic = query_parameter(*exchange, "topic");
    const auto from = parse_number(query_parameter(*exchange, "from"));
    const auto& log = topics_[topic];
    if (from < log.first)
        return exchange->respond(json_response(status_gone, {{"first", log.first}}));
    const auto wait = milliseconds{parse_number(query_parameter(*exchange, "wait_ms"))};
    const pending_read pending{exchange, host, topic, from, boot_clock::now() + wait};
    if (from < log.records.size() || wait == milliseconds{0})
        respond_records(pending);
    else
        pending_reads_.push_back(pending);
}

void standin_store::respond_records(const pending_read& pending)
{
    const auto& log = topics_[pending.topic];
    std::string body;
    append_big_endian(body, log.records.size(), offset_bytes);
    append_big_endian(body, log.first, offset_bytes);
    for (auto i = pending.from; i < std::min(log.records.size(), pending.from + records_per_read);
         ++i) {
        const auto& stored = log.records[i];
        const auto value =
            stored.value.empty() ? stored.value : render_value_(stored.value, pending.host);
        append_big_endian(body, 1 + stored.key.size() + value.size(), length_bytes);
        append_big_endian(body, stored.key.size(), 1);
        body += stored.key + value;
    }
    pending.exchange->respond({200, body, "application/octet-stream", {}});
}

void standin_store::newest(int host, const std::shared_ptr<runtime::http_exchange>& exchange)
{
    const auto& log = topics_[query_parameter(*exchange, "topic")];
    json items = json::array();
    for (const auto& [key, offset] : log.newest) {
        const auto value = render_value_(log.records[offset].value, host);
        const runtime::gfree_ptr<gchar> text{
            g_base64_encode(reinterpret_cast<const guchar*>(value.data()), value.size())};
        items.push_back({{"key", key}, {"value", text.get()}, {"offset", offset}});
    }
    exchange->respond(
        json_response(200, {{"items", items}, {"more_pages", false}, {"end", log.records.size()}}));
}

void standin_store::answer_pending_reads()
{
    if (mode_ != store_mode::up)
        return;
    const auto now = boot_clock::now();
    for (auto it = pending_reads_.begin(); it != pending_reads_.end();) {
        if (it->from >= topics_[it->topic].records.size() && now < it->deadline) {
            ++it;
            continue;
        }
        const auto pending = *it;
        it = pending_reads_.erase(it);
        respond_records(pending);
    }
}

} // namespace chivewharf::fleet_soak
