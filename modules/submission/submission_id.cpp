#include <submission/submission_id.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <cstring>

namespace chivewharf::submission {

namespace {

constexpr std::string_view issued_prefix = "i.";
constexpr std::size_t incarnation_digits = 16;

bool is_id_byte(char c)
{
    return c > ' ' && c < 0x7f && c != '/';
}

/// Removes the last component with its dot from `text` and returns it; none if there is no dot.
std::optional<std::string_view> pop_last_component(std::string_view& text)
{
    const auto dot = text.rfind('.');
    if (dot == std::string_view::npos)
        return std::nullopt;
    const auto last = text.substr(dot + 1);
    text = text.substr(0, dot);
    return last;
}

/// Parses a decimal number without leading zeros. Other spellings are rejected so that each issued
/// id has only one text.
std::optional<std::uint64_t> canonical_decimal(std::string_view text)
{
    if (text.empty() || (text.size() > 1 && text.front() == '0'))
        return std::nullopt;
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::optional<std::uint64_t> canonical_hex(std::string_view text)
{
    const auto is_digit = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    if (text.size() != incarnation_digits || !std::all_of(text.begin(), text.end(), is_digit))
        return std::nullopt;
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value, 16);
    return value;
}

std::optional<issued_parts> parse_issued(std::string_view text)
{
    if (!text.starts_with(issued_prefix))
        return std::nullopt;
    text.remove_prefix(issued_prefix.size());
    const auto seq = pop_last_component(text);
    const auto issued_at = pop_last_component(text);
    const auto incarnation = pop_last_component(text);
    const auto dot = text.find('.');
    if (!seq || !issued_at || !incarnation || dot == std::string_view::npos)
        return std::nullopt;
    const auto domain = text.substr(0, dot);
    const auto host = text.substr(dot + 1);
    const auto seq_number = canonical_decimal(*seq);
    const auto second_number = canonical_decimal(*issued_at);
    const auto incarnation_number = canonical_hex(*incarnation);
    if (domain.empty() || host.empty() || !seq_number || !second_number || !incarnation_number)
        return std::nullopt;
    return issued_parts{std::string{domain}, std::string{host}, *incarnation_number, *second_number,
                        *seq_number};
}

} // namespace

std::string format_issued(const issued_parts& parts)
{
    std::array<char, incarnation_digits + 1> hex{};
    std::snprintf(hex.data(), hex.size(), "%016llx",
                  static_cast<unsigned long long>(parts.incarnation));
    std::string text{issued_prefix};
    text.append(parts.domain).append(".").append(parts.host).append(".");
    text.append(hex.data()).append(".").append(std::to_string(parts.seconds));
    text.append(".").append(std::to_string(parts.seq));
    return text;
}

result<submission_id, submission_error> submission_id::parse(std::string_view text)
{
    if (text.empty() || text.size() > max_id_length) {
        return unexpected{submission_error{submission_errc::invalid_id,
                                           "a submission id has 1 to 128 bytes, not " +
                                               std::to_string(text.size())}};
    }
    if (!std::all_of(text.begin(), text.end(), is_id_byte)) {
        return unexpected{
            submission_error{submission_errc::invalid_id,
                             "a submission id is printable ASCII without space or slash"}};
    }
    submission_id id;
    id.text_ = text;
    id.issued_ = parse_issued(text);
    return id;
}

std::string_view submission_id::home_domain(std::string_view customer,
                                            std::span<const std::string> key_domains) const
{
    const std::string_view text = text_;
    if (const auto colon = text.find(':'); colon != std::string_view::npos) {
        const auto named = std::find(key_domains.begin(), key_domains.end(), text.substr(0, colon));
        if (named != key_domains.end())
            return *named;
    }
    std::string_view best;
    std::uint64_t best_weight = 0;
    for (const std::string& domain : key_domains) {
        const auto weight = stable_hash(text, stable_hash(customer, stable_hash(domain)));
        if (best.empty() || weight > best_weight || (weight == best_weight && domain < best)) {
            best = domain;
            best_weight = weight;
        }
    }
    return best;
}

unsigned submission_id::slot(std::string_view customer) const noexcept
{
    return static_cast<unsigned>(stable_hash(text_, stable_hash(customer)) % ownership_slots);
}

submission_key make_key(std::string_view customer, std::string_view id)
{
    // Ids contain no NUL, so the separator makes the text of each (customer, id) pair unique.
    std::string text{customer};
    text.push_back('\0');
    text.append(id);
    const auto digest = digest_body(text);
    submission_key key;
    std::memcpy(&key.high, digest.data(), sizeof key.high);
    std::memcpy(&key.low, digest.data() + sizeof key.high, sizeof key.low);
    return key;
}

} // namespace chivewharf::submission
