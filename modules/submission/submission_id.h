#pragma once

#include <base/digest.h>
#include <base/result.h>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <submission/submission_error.h>

namespace chivewharf::submission {

/// Maximum length of an id in bytes.
inline constexpr std::size_t max_id_length = 128;

/// Number of ownership slots of a domain.
inline constexpr unsigned ownership_slots = 64;

/// Fields of an id that an entry host issued.
struct issued_parts {
    std::string domain;
    std::string host;
    std::uint64_t incarnation = 0;
    std::uint64_t seconds = 0; ///< wall time of issue, seconds since the Unix epoch
    std::uint64_t seq = 0;

    bool operator==(const issued_parts&) const = default;
};

/// Formats an issued id as `i.DOMAIN.HOST.INCARNATION.SECONDS.SEQ`. The host name may contain dots,
/// the domain name may not.
std::string format_issued(const issued_parts& parts);

/// A submission id as received from a caller. It counts as an issued id only if it has exactly the
/// canonical form of one. Any other valid id is caller-chosen, including one that differs from the
/// issued form only in a detail such as leading zeros.
class submission_id {
public:
    /// Accepts 1 to `max_id_length` bytes of printable ASCII without space or slash.
    /// \return the id, or `invalid_id`
    static result<submission_id, submission_error> parse(std::string_view text);

    const std::string& text() const noexcept { return text_; }

    /// Fields of an issued id; empty for a caller-chosen id.
    const std::optional<issued_parts>& issued() const noexcept { return issued_; }

    /// Home domain of a caller-chosen id: the prefix before the first colon if it names a key
    /// domain, otherwise the domain that rendezvous hashing of customer and id selects. The result
    /// does not depend on the order of `key_domains`.
    /// \param key_domains must not be empty
    std::string_view home_domain(std::string_view customer,
                                 std::span<const std::string> key_domains) const;

    /// Ownership slot of a caller-chosen id within its home domain, below `ownership_slots`.
    unsigned slot(std::string_view customer) const noexcept;

private:
    std::string text_;
    std::optional<issued_parts> issued_;
};

/// Key of a submission in the table: the first 128 bits of the SHA-256 of customer and id. A
/// cryptographic hash prevents one customer from blocking another's id with a crafted collision.
struct submission_key {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    bool operator==(const submission_key&) const = default;
    bool operator<(const submission_key& other) const
    {
        return high != other.high ? high < other.high : low < other.low;
    }
};

/// Computes the key of a customer's id.
submission_key make_key(std::string_view customer, std::string_view id);

} // namespace chivewharf::submission
