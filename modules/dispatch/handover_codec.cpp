#include <dispatch/handover_codec.h>

#include <algorithm>

namespace chivewharf::dispatch {

namespace {

constexpr std::size_t records_per_part = 10'000;
constexpr std::size_t record_bytes = 8 + 8 + 16 + 3;
constexpr std::size_t number_bytes = 8;

void put_number(std::string& out, std::uint64_t value)
{
    for (unsigned shift = 0; shift < 64; shift += 8)
        out += static_cast<char>((value >> shift) & 0xffU);
}

std::uint64_t get_number(std::string_view text)
{
    std::uint64_t value = 0;
    for (unsigned i = 0; i < 8; ++i)
        value |= std::uint64_t{static_cast<unsigned char>(text[i])} << (8 * i);
    return value;
}

void put_record(std::string& out, const submission::tombstone& record)
{
    put_number(out, record.key.high);
    put_number(out, record.key.low);
    out.append(reinterpret_cast<const char*>(record.digest.data()), record.digest.size());
    out += static_cast<char>(record.why);
    out += static_cast<char>(record.work);
    out += static_cast<char>(record.slot);
}

bool get_record(std::string_view text, submission::tombstone& record)
{
    const auto cause = static_cast<unsigned char>(text[32]);
    const auto work = static_cast<unsigned char>(text[33]);
    if (cause >= enum_count<reason> || work >= enum_count<work_state>)
        return false;
    record.key = {get_number(text), get_number(text.substr(8))};
    std::copy_n(text.begin() + 16, record.digest.size(), record.digest.begin());
    record.why = static_cast<reason>(cause);
    record.work = static_cast<work_state>(work);
    record.slot = static_cast<std::uint8_t>(text[34]);
    return true;
}

} // namespace

std::vector<record_part> encode_records(const std::vector<submission::tombstone>& records)
{
    std::vector<record_part> parts(1);
    put_number(parts.back().text, 0);
    std::size_t records_in_part = 0;
    for (const auto& record : records) {
        if (records_in_part == records_per_part) {
            parts.emplace_back();
            put_number(parts.back().text, parts.size() - 1);
            records_in_part = 0;
        }
        put_record(parts.back().text, record);
        ++records_in_part;
    }
    parts.back().last = true;
    return parts;
}

std::optional<received_part> decode_records(std::string_view text)
{
    if (text.size() < number_bytes || (text.size() - number_bytes) % record_bytes != 0)
        return std::nullopt;
    received_part part;
    part.number = get_number(text);
    for (text.remove_prefix(number_bytes); !text.empty(); text.remove_prefix(record_bytes)) {
        submission::tombstone record;
        if (!get_record(text, record))
            return std::nullopt;
        part.records.push_back(record);
    }
    return part;
}

} // namespace chivewharf::dispatch
