#include <ownership/ownership_record.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <initializer_list>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <ownership/ownership_options.h>
#include <set>
#include <utility>

namespace chivewharf::ownership {

namespace {

using nlohmann::json;

constexpr std::size_t incarnation_digits = 16;

/// Leaves room for increments, so that a forged epoch cannot cause an overflow.
constexpr std::uint64_t max_epoch = std::numeric_limits<std::uint64_t>::max() / 2;

std::string incarnation_text(std::uint64_t incarnation)
{
    std::array<char, incarnation_digits + 1> hex{};
    std::snprintf(hex.data(), hex.size(), "%016llx", static_cast<unsigned long long>(incarnation));
    return hex.data();
}

json to_json(const incarnation_id& id)
{
    return {{"host", id.host}, {"incarnation", incarnation_text(id.incarnation)}};
}

json body_json(const claim_record& claim)
{
    auto out = to_json(claim.owner);
    out["type"] = "claim";
    out["slot"] = claim.at.slot;
    out["epoch"] = claim.at.epoch;
    return out;
}

json slots_json(const std::vector<slot_epoch>& slots)
{
    auto out = json::array();
    for (const auto& at : slots)
        out.push_back(json::array({at.slot, at.epoch}));
    return out;
}

json body_json(const renew_record& renew)
{
    auto out = to_json(renew.owner);
    out["type"] = "renew";
    out["slots"] = slots_json(renew.slots);
    return out;
}

json body_json(const handover_record& handover)
{
    return {{"type", "handover"},
            {"slots", slots_json(handover.slots)},
            {"from", to_json(handover.from)},
            {"to", to_json(handover.to)}};
}

/// Parses JSON and rejects duplicate keys. The library would silently keep the last of them.
std::optional<json> parse_unique(std::string_view text)
{
    std::vector<std::set<std::string>> keys;
    bool duplicate = false;
    const auto check_key = [&](int, json::parse_event_t event, json& value) {
        if (event == json::parse_event_t::object_start)
            keys.emplace_back();
        else if (event == json::parse_event_t::object_end)
            keys.pop_back();
        else if (event == json::parse_event_t::key)
            duplicate |= !keys.back().insert(value.get<std::string>()).second;
        return true;
    };
    auto parsed = json::parse(text, check_key, false);
    if (parsed.is_discarded() || duplicate)
        return std::nullopt;
    return parsed;
}

bool has_exactly_keys(const json& object, std::initializer_list<const char*> keys)
{
    return object.is_object() && object.size() == keys.size() &&
           std::all_of(keys.begin(), keys.end(),
                       [&](const char* key) { return object.contains(key); });
}

std::optional<std::uint64_t> read_incarnation(const json& value)
{
    const auto* text = value.get_ptr<const std::string*>();
    const auto is_hex_digit = [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
    };
    if (text == nullptr || text->size() != incarnation_digits ||
        !std::all_of(text->begin(), text->end(), is_hex_digit))
        return std::nullopt;
    std::uint64_t number = 0;
    std::from_chars(text->data(), text->data() + text->size(), number, 16);
    return number;
}

/// Reads the keys `host` and `incarnation`. Precondition: the object has both.
std::optional<incarnation_id> read_owner(const json& object)
{
    const auto* host = object["host"].get_ptr<const std::string*>();
    const auto incarnation = read_incarnation(object["incarnation"]);
    if (host == nullptr || host->empty() || !incarnation)
        return std::nullopt;
    return incarnation_id{*host, *incarnation};
}

std::optional<slot_epoch> read_slot_epoch(const json& slot, const json& epoch)
{
    if (!slot.is_number_unsigned() || !epoch.is_number_unsigned())
        return std::nullopt;
    const auto slot_number = slot.get<std::uint64_t>();
    const auto epoch_number = epoch.get<std::uint64_t>();
    if (slot_number >= slot_count || epoch_number == 0 || epoch_number > max_epoch)
        return std::nullopt;
    return slot_epoch{static_cast<unsigned>(slot_number), epoch_number};
}

using record_body = decltype(ownership_record::body);

std::optional<record_body> read_claim(const json& object)
{
    if (!has_exactly_keys(object, {"record_id", "type", "slot", "epoch", "host", "incarnation"}))
        return std::nullopt;
    const auto at = read_slot_epoch(object["slot"], object["epoch"]);
    const auto owner = read_owner(object);
    if (!at || !owner)
        return std::nullopt;
    return claim_record{*at, *owner};
}

/// Reads a non-empty list of pairs of slot and epoch, in which each slot occurs once.
std::optional<std::vector<slot_epoch>> read_slots(const json& slots)
{
    if (!slots.is_array() || slots.empty())
        return std::nullopt;
    std::vector<slot_epoch> out;
    std::array<bool, slot_count> seen{};
    for (const json& pair : slots) {
        if (!pair.is_array() || pair.size() != 2)
            return std::nullopt;
        const auto at = read_slot_epoch(pair[0], pair[1]);
        if (!at || std::exchange(seen[at->slot], true))
            return std::nullopt;
        out.push_back(*at);
    }
    return out;
}

std::optional<record_body> read_renew(const json& object)
{
    if (!has_exactly_keys(object, {"record_id", "type", "host", "incarnation", "slots"}))
        return std::nullopt;
    const auto owner = read_owner(object);
    auto slots = read_slots(object["slots"]);
    if (!owner || !slots)
        return std::nullopt;
    return renew_record{*owner, std::move(*slots)};
}

std::optional<record_body> read_handover(const json& object)
{
    if (!has_exactly_keys(object, {"record_id", "type", "slots", "from", "to"}) ||
        !has_exactly_keys(object["from"], {"host", "incarnation"}) ||
        !has_exactly_keys(object["to"], {"host", "incarnation"}))
        return std::nullopt;
    auto slots = read_slots(object["slots"]);
    const auto from = read_owner(object["from"]);
    const auto to = read_owner(object["to"]);
    if (!slots || !from || !to)
        return std::nullopt;
    return handover_record{std::move(*slots), *from, *to};
}

std::optional<record_body> read_body(const json& object)
{
    const auto* type = object["type"].get_ptr<const std::string*>();
    if (type == nullptr)
        return std::nullopt;
    if (*type == "claim")
        return read_claim(object);
    if (*type == "renew")
        return read_renew(object);
    if (*type == "handover")
        return read_handover(object);
    return std::nullopt;
}

unexpected<ownership_error> malformed(std::string message)
{
    return unexpected{ownership_error{ownership_errc::malformed_record, std::move(message)}};
}

} // namespace

std::string encode(const ownership_record& record)
{
    auto out = std::visit([](const auto& body) { return body_json(body); }, record.body);
    out["record_id"] = record.record_id;
    return out.dump();
}

result<ownership_record, ownership_error> decode(std::string_view text)
{
    const auto parsed = parse_unique(text);
    if (!parsed)
        return malformed("the record is not JSON with unique keys");
    const json& object = *parsed;
    if (!object.is_object() || !object.contains("type") || !object.contains("record_id"))
        return malformed("the record is not an object with type and record_id");
    const auto* record_id = object["record_id"].get_ptr<const std::string*>();
    auto body = read_body(object);
    if (record_id == nullptr || record_id->empty() || !body)
        return malformed("the record has a missing, unknown or invalid member");
    return ownership_record{*record_id, std::move(*body)};
}

} // namespace chivewharf::ownership
